// Package announcer sends the announcements of a simulated upstream to balancers.
package announcer
