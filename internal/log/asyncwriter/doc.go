// Package asyncwriter writes log lines asynchronously, so that logging never blocks.
package asyncwriter
