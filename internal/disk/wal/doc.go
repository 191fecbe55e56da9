// Package wal stores a voter's log, vote and snapshot in a data folder.
//
// The header and the body of a record have checksums. A torn write at the end of
// the log, left by a crash, is truncated. Corruption before the end is an error,
// since truncating there would lose acknowledged entries.
package wal
