// Package applydefaults implements the stage that sets the defaults of settings.
package applydefaults
