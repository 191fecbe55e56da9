// Package measure measures the costs from which the capacity page is calculated.
package measure
