// Package urgency determines which of the flows that callers currently open at a service have the
// best priority.
package urgency
