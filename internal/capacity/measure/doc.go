// Package measure measures the costs from which the capacity page is calculated. An opening is the
// first packet of a flow (a SYN).
package measure
