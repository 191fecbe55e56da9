// Package follower keeps a long poll open to each of its sources, which are the voters or a parent
// balancer that relays their state, and passes the responses to a handler.
package follower
