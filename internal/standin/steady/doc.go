// Package steady makes property-based tests deterministic with a fixed seed.
package steady
