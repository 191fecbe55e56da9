// Package serve implements the stage that blocks until the planned shutdown and performs it.
package serve
