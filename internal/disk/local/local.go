package local

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"wasabideal/internal/disk/folder"
)

const (
	folderMode = 0o750
	fileMode   = 0o640
	lockFile   = "lock"
)

// LockedError reports that another process has locked the data folder.
type LockedError struct{ Folder string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process; set a separate DataFolder for each process", e.Folder)
}

// Folder is a data folder locked by this process.
type Folder struct {
	path string
	lock *os.File
}

// Open creates the folder if needed and locks it. Without the lock, two processes that append to
// one log would corrupt each other's records.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &LockedError{Folder: path}
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

func (f *Folder) pathOf(name string) string { return filepath.Join(f.path, name) }

// ReadFile returns the content of a file.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.pathOf(name)) }

// Create creates or truncates a file for writing.
func (f *Folder) Create(name string) (folder.File, error) {
	return os.OpenFile(f.pathOf(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append truncates a file to size and opens it for appending.
func (f *Folder) Append(name string, size int64) (folder.File, error) {
	file, err := os.OpenFile(f.pathOf(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// Rename replaces the target if it exists.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.pathOf(from), f.pathOf(to)) }

// Remove deletes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.pathOf(name)) }

// Sync makes created, renamed and removed names durable.
func (f *Folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}
