// Package view merges the notices that several voters send about upstreams into the single
// view by which a balancer places flows.
package view
