// Package page calculates and renders docs/CAPACITY.md, the capacity page, from measured slopes. An
// opening is the first packet of a flow (a SYN).
package page
