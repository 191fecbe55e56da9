// Package fleet runs the project's programs as separate processes, and stops,
// pauses, kills and restarts them by signals to the processes it started.
package fleet
