// Package exit maps errors of commands to exit statuses.
package exit
