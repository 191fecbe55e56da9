// Package follower keeps a long poll open to each of its sources and passes the responses to a
// handler. The sources are the voters, or a parent balancer that relays the voters' state.
package follower
