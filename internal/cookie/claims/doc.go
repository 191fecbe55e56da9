// Package claims holds which instances of upstreams may have open flows with a cookie that several
// upstreams share. Balancers and voters exchange these sets and merge them.
package claims
