// Package checksettings implements the start-up stage that validates the settings.
package checksettings
