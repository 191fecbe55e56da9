// Package report defines the load that a balancer reports for itself and its followers, the answer
// of the receiver, and their encoding. It answers the load that no single balancer sees: one of 33
// balancers of an availability zone handles 1/33 of the requests to each upstream.
//
// A message is one CBOR array. Figures are integers: slots in sixteenths, rates in quarters per
// second, link use in hundredths, ages and delays in milliseconds, rounded up. Names are listed once
// and referred to by index. Receivers ignore further elements of arrays, so that later versions may
// append some.
package report
