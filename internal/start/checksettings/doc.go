// Package verify implements the stage that validates the settings.
package checksettings
