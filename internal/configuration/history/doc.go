// Package history keeps the latest changes of a configuration as deltas, for
// followers that missed a few; others get the full configuration.
package history
