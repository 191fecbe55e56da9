// Package choice selects the upstream of a new flow.
package choice
