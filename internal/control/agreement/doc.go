// Package agreement replicates one log of changes among the control voters by Raft (Ongaro, 2014)
// with pre-votes, a leader lease, snapshots and membership changes, of several voters by joint
// consensus. It is a pure state machine: it consumes events and returns effects, without I/O and
// without a clock. A Persist effect carries the messages that may be sent only after its data is on
// disk.
package agreement
