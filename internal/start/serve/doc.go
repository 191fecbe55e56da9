// Package serve implements the last start-up stage: it blocks until the planned stop and performs it.
package serve
