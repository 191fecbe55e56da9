// Package choice selects the upstream of a new flow: a zone by capacity, and the less loaded of
// two upstreams in the zone.
package choice
