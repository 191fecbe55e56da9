// Package member holds what a balancer says of itself to those that it follows.
package member
