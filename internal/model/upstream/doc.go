// Package upstream defines the announcement of an upstream.
//
// An instance is one run of an upstream's process, identified by its incarnation. A departure is
// an announcement with the state Draining or Withdrawn. An upstream withdraws by a call, the
// deregistration.
package upstream
