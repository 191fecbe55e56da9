// Package local implements a data folder on the local disk.
package local
