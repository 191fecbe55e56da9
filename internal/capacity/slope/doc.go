// Package slope fits a line to a cost that was measured at several sizes.
package slope
