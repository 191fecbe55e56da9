// Package ratelimit limits the rate of log lines of one kind.
package ratelimit
