// Package applydefaults implements the start-up stage that sets the defaults of settings.
package applydefaults
