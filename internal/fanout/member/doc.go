// Package member describes a balancer to the voters and balancers that it follows.
package member
