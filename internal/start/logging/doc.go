// Package logging implements the start-up stage that creates the logger.
package logging
