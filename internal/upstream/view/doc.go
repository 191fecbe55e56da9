// Package view joins what several voters tell of upstreams into the one picture
// by which a balancer places flows.
package view
