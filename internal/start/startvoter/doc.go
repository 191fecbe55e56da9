// Package startvoter implements the start-up stage that starts a control voter.
package startvoter
