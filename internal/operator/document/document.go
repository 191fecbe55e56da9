package document

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/setting/check"
	"wasabideal/internal/setting/defaults"
	"wasabideal/internal/setting/settings"
)

// Document is the content of one file; exactly one field is set.
type Document struct {
	Settings      *settings.Settings
	Configuration *configuration.Configuration
}

// InvalidError reports the file of an invalid configuration.
type InvalidError struct {
	File  string
	Cause error
}

func (e *InvalidError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *InvalidError) Unwrap() error { return e.Cause }

// Read reads and validates a file. A file with the key Presets is a configuration; all others are settings.
func Read(file string) (Document, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Document{}, fmt.Errorf("read document: %w", err)
	}
	var keys map[string]any
	if err := toml.Unmarshal(b, &keys); err != nil {
		return Document{}, &InvalidError{File: file, Cause: err}
	}
	if _, ok := keys["Presets"]; ok {
		return readConfiguration(file, b)
	}
	s, err := settings.Decode(file, b)
	if err != nil {
		return Document{}, err
	}
	s = defaults.Defaults{}.Apply(s)
	return Document{Settings: &s}, check.New(file).Check(s)
}

func readConfiguration(file string, b []byte) (Document, error) {
	var c configuration.Configuration
	if err := settings.DecodeInto(file, b, &c); err != nil {
		return Document{}, err
	}
	if c.Revision != 0 {
		return Document{}, &InvalidError{File: file, Cause: &configuration.InvalidError{
			Key: "Revision", Value: fmt.Sprint(c.Revision), Allowed: "absent; pass --expect-revision",
		}}
	}
	if err := c.Check(); err != nil {
		return Document{}, &InvalidError{File: file, Cause: err}
	}
	return Document{Configuration: &c}, nil
}
