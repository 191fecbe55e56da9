// Package folder defines the interface of a data folder, which tests implement
// with injected failures, and replaces files atomically.
package folder
