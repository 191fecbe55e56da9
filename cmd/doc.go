// Package cmd implements the command line, with one file per command.
package cmd
