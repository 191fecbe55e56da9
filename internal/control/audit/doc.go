// Package audit stores the audit trail of changes as JSON lines in the data folder.
package audit
