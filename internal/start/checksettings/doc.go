// Package checksettings implements the stage that validates the settings.
package checksettings
