package folder

import "io"

// File is an open file; written data is durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// Folder is a data folder; created, renamed and removed names are durable only after Sync.
type Folder interface {
	// ReadFile returns the content of a file. If the file does not exist, errors.Is finds
	// fs.ErrNotExist in the error.
	ReadFile(name string) ([]byte, error)
	// Create creates or truncates a file for writing.
	Create(name string) (File, error)
	// Append truncates a file to size and opens it for appending.
	Append(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
}
