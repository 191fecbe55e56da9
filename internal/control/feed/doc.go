// Package feed tells balancers the configuration, the announced upstreams and
// the addresses of the other voters, by answers that wait for news.
package feed
