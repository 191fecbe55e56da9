// Package urgency determines which flows of a service have the best priority among those that
// callers currently open.
package urgency
