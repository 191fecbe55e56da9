// Package vote implements the stage that starts a control voter.
package startvoter
