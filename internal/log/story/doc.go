// Package story reads the logs of balancers and voters and tells, for a caller's
// flow, an upstream or a revision, what was decided in which order and why.
package story
