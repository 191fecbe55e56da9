// Package fabric simulates a network fabric that distributes packets over the
// balancers regardless of their flow.
package fabric
