package folder

import "fmt"

// ReplaceError reports the failed step of replacing a file.
type ReplaceError struct {
	Operation, Name string
	Cause           error
}

func (e *ReplaceError) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.Name, e.Cause) }

// Unwrap returns the underlying error.
func (e *ReplaceError) Unwrap() error { return e.Cause }

// temporarySuffix is appended to the name of a file while its new content is written.
const temporarySuffix = ".new"

// Replace replaces a file atomically: after a crash, it has the old or the new
// content. It returns once the new content is durable.
func Replace(f Folder, name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := f.Create(temporary)
	if err != nil {
		return &ReplaceError{Operation: "create", Name: temporary, Cause: err}
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(content); err != nil {
		return &ReplaceError{Operation: "write", Name: temporary, Cause: err}
	}
	if err := file.Sync(); err != nil {
		return &ReplaceError{Operation: "sync", Name: temporary, Cause: err}
	}
	if err := f.Rename(temporary, name); err != nil {
		return &ReplaceError{Operation: "rename", Name: temporary, Cause: err}
	}
	if err := f.Sync(); err != nil {
		return &ReplaceError{Operation: "sync folder of", Name: name, Cause: err}
	}
	return nil
}
