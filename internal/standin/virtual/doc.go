// Package virtual provides a virtual clock for discrete-event simulations of load and failures.
package virtual
