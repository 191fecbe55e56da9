package fault

import (
	"io/fs"
	"maps"
	"math/rand/v2"

	"wasabideal/internal/disk/folder"
)

// InjectedError is a failure that a test injected.
type InjectedError struct{ Operation string }

func (e *InjectedError) Error() string { return "injected failure of " + e.Operation }

// content is the data of one file, as synced and as written.
type content struct {
	durable []byte
	written []byte
}

// Folder tracks synced and unsynced content of each file, and the names that are synced.
type Folder struct {
	files   map[string]*content
	durable map[string]*content
	random  *rand.Rand
	// Operations is the number of operations so far that change or sync files.
	Operations int
	// FailAt is the number of the first operation that fails; all later operations fail too. 0
	// disables failures.
	FailAt int
	// FailOnce limits the failure to operation FailAt, as on a disk that is full for a moment.
	FailOnce bool
}

// New returns an empty folder; the seed determines how much of an unsynced write survives a crash.
func New(seed uint64) *Folder {
	return &Folder{
		files: map[string]*content{}, durable: map[string]*content{},
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// inject counts an operation, and returns an InjectedError if FailAt and FailOnce select the operation.
func (f *Folder) inject(operation string) error {
	f.Operations++
	failed := f.FailAt > 0 && f.Operations >= f.FailAt
	if f.FailOnce {
		failed = f.Operations == f.FailAt
	}
	if failed {
		return &InjectedError{Operation: operation}
	}
	return nil
}

// Crash discards names and data that are not synced, and disables failures. Of the data written to
// each file since its last sync, a random prefix survives.
func (f *Folder) Crash() {
	f.FailAt = 0
	f.files = maps.Clone(f.durable)
	for _, c := range f.files {
		unsynced := len(c.written) - len(c.durable)
		if unsynced <= 0 {
			c.written = append([]byte(nil), c.durable...)
			continue
		}
		kept := len(c.durable) + f.random.IntN(unsynced+1)
		c.durable = append([]byte(nil), c.written[:kept]...)
		c.written = append([]byte(nil), c.durable...)
	}
}

// Wipe removes all files, as if the disk were replaced.
func (f *Folder) Wipe() {
	f.files, f.durable = map[string]*content{}, map[string]*content{}
}

// Corrupt flips one bit of the byte at an offset.
func (f *Folder) Corrupt(name string, offset int) {
	c := f.files[name]
	c.written[offset] ^= 1
	c.durable = append([]byte(nil), c.written...)
}

// ReadFile returns the content of a file, synced or not.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	c := f.files[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), c.written...), nil
}

// Create creates or truncates a file for writing.
func (f *Folder) Create(name string) (folder.File, error) {
	if err := f.inject("create"); err != nil {
		return nil, err
	}
	c := &content{}
	f.files[name] = c
	return &file{folder: f, content: c}, nil
}

// Append truncates a file to size and opens it for appending.
func (f *Folder) Append(name string, size int64) (folder.File, error) {
	if err := f.inject("append"); err != nil {
		return nil, err
	}
	c := f.files[name]
	if c == nil {
		c = &content{}
		f.files[name] = c
	}
	c.written = append([]byte(nil), c.written[:size]...)
	c.durable = c.durable[:min(len(c.durable), int(size))]
	return &file{folder: f, content: c}, nil
}

// Rename replaces the target if it exists.
func (f *Folder) Rename(from, to string) error {
	if err := f.inject("rename"); err != nil {
		return err
	}
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	if err := f.inject("remove"); err != nil {
		return err
	}
	delete(f.files, name)
	return nil
}

// Sync makes created, renamed and removed names durable.
func (f *Folder) Sync() error {
	if err := f.inject("folder sync"); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	return nil
}

type file struct {
	folder  *Folder
	content *content
}

// Write may write a part of b before it fails, as on a full disk.
func (f *file) Write(b []byte) (int, error) {
	if err := f.folder.inject("write"); err != nil {
		n := f.folder.random.IntN(len(b) + 1)
		f.content.written = append(f.content.written, b[:n]...)
		return n, err
	}
	f.content.written = append(f.content.written, b...)
	return len(b), nil
}

func (f *file) Sync() error {
	if err := f.folder.inject("sync"); err != nil {
		return err
	}
	f.content.durable = append([]byte(nil), f.content.written...)
	return nil
}

func (f *file) Close() error { return nil }
