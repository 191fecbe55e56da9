// Package document reads and validates files written by operators: settings of
// a process, or a configuration to apply.
package document
