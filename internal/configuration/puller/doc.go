// Package puller fetches newer configurations from a list of sources.
package puller
