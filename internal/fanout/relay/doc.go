// Package relay lets a balancer answer the polls of its followers with the voter state that it
// has received. A poll is held until there are updates, for at most the time that the follower
// allows (long polling).
package relay
