// Package member describes a balancer to the voters and balancers that it polls.
package member
