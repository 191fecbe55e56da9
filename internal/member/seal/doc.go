// Package seal authenticates datagrams between processes that share a group's token.
package seal
