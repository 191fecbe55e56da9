// Package virtual plays events in virtual time, for replays of load and failures.
package virtual
