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

// Read calls handle with each line from its first brace on. This skips a prefix that a log
// collector may add. Lines without a brace are skipped.
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
