// Package followers tells from balancers' logs who follows whom, how much each had heard
// when it last changed that, and why it did.
package followers
