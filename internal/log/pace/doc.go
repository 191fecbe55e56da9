// Package pace bounds how many log lines of one kind a process writes in a second.
package pace
