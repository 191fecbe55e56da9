// Package latency records how long things took, for the metrics page.
package latency
