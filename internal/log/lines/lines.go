package lines

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxLineSize is the maximum line length in bytes; no process writes longer lines.
const maxLineSize = 1 << 20

// Read calls handle with each line, starting at its first brace. A prefix, as a log collector
// may add, is skipped, and so are lines without a brace.
func Read(r io.Reader, handle func(line []byte)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineSize)
	for s.Scan() {
		if start := bytes.IndexByte(s.Bytes(), '{'); start >= 0 {
			handle(s.Bytes()[start:])
		}
	}
	if err := s.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}
