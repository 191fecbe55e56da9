// Package logging implements the stage that creates the logger.
package logging
