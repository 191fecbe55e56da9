// Package slowstart limits the rate of new flows at a cold upstream, which has just started.
package slowstart
