// Package feed tells balancers which configuration is in force, the announced
// upstreams and the addresses of the other voters, by answers that wait for news.
//
// The configuration itself is asked for separately: a balancer listens to all
// voters, and their answers together would fill a small VM's link.
package feed
