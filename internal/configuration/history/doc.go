// Package history keeps the latest changes of a configuration as deltas, for followers that
// are a few revisions behind. Other followers get the full configuration.
package history
