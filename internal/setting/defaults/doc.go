// Package defaults sets the default values of settings that a file omits.
package defaults
