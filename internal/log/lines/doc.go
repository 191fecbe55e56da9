// Package lines reads JSON log lines.
package lines
