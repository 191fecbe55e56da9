// Package fault implements an in-memory data folder for tests, with injected
// operation failures, crashes and corruption.
package fault
