// Package check validates settings and names the first invalid key.
package check
