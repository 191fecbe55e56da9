// Package source serves configurations to followers by long polling, at voters and
// at balancers that relay them.
package source
