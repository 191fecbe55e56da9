// Package recent holds which upstreams a voter or balancer has known for a short time only.
package recent
