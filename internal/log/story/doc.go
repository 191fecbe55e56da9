// Package story prints from the logs of balancers and voters what happened to a caller's
// flow, an upstream or a configuration revision, in order and with an explanation.
package story
