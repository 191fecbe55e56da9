// Package readsettings implements the start-up stage that reads the settings file.
package readsettings
