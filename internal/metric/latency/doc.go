// Package latency records durations in histograms for the metrics endpoint.
package latency
