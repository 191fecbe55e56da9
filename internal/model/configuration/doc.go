// Package configuration defines the operators' configuration of services, routes and
// presets as an immutable value with a revision.
package configuration
