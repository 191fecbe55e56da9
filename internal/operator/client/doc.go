// Package client calls control voters and balancers for the operators' commands.
package client
