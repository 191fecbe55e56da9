// Package slowstart limits the rate of new flows at an upstream that has just started.
package slowstart
