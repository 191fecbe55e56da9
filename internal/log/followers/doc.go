// Package followers prints the parent of each balancer from the balancers' logs: when and why the
// balancer last changed its parent, and how many voters had sent it recent data by then.
package followers
