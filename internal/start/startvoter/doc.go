// Package startvoter implements the stage that starts a control voter.
package startvoter
