// Package fleet runs the project's programs as child processes and stops, pauses,
// kills and restarts them by signals.
package fleet
