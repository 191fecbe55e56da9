// Package pace limits the rate of log lines of one kind.
package ratelimit
