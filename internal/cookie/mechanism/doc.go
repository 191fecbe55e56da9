// Package mechanism names the mechanisms of a balancer that can be switched off, so that
// what each is worth under a load can be measured.
package mechanism
