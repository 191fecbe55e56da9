// Package measure measures the costs from which package page calculates docs/CAPACITY.md. An
// opening is the first packet of a flow (a SYN).
package measure
