// Package settings defines the settings file of a process and decodes it from TOML.
package settings
