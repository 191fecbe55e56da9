// Package evacuation holds the replicated list of evacuated availability zones, which
// receive no new flows.
package evacuation
