// Package view merges the notices that several voters send about upstreams into the one state by
// which a balancer places flows.
package view
