// Package control implements the voter process, which stores its state on disk and takes
// part in the consensus on configurations.
package control
