// Package mechanism names the mechanisms of a balancer that can be disabled, so that the
// effect of each can be measured under load.
package mechanism
