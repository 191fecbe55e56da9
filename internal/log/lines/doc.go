// Package lines reads the JSON lines of processes' logs.
package lines
