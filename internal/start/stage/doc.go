// Package stage defines and runs the stages of starting a process.
package stage
