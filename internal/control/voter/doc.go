// Package voter runs a control process: it executes the effects of the consensus state
// machine in package agreement on a data folder and over DRPC.
package voter
