// Package page calculates and renders the capacity page from measured slopes.
package page
