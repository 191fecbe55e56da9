// Package wiring converts validated settings to the settings of each component.
package wiring
