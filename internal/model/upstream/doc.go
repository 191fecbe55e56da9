// Package upstream defines the announcement of an upstream.
package upstream
