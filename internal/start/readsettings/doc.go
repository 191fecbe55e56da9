// Package readsettings implements the stage that reads the settings file.
package readsettings
