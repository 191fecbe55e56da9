// Package urgency tells which of a service's flows are the most urgent that callers ask for.
package urgency
