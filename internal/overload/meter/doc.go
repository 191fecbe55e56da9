// Package meter measures the rate at which something comes, of the last moments.
package meter
