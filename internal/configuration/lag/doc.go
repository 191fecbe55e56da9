// Package lag tracks how far a process is behind the newest configuration that it has heard of, and
// what its calls for a newer one came to.
package lag
