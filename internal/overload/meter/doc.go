// Package meter measures an exponentially decaying rate.
package meter
