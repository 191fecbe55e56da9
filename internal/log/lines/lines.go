package lines

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// lineLimit bounds one line in bytes; longer ones are no lines of ours.
const lineLimit = 1 << 20

// Read calls a function with each line from its brace on. What stands before it, as a
// collector may put it there, is passed over, and so are lines without one.
func Read(r io.Reader, each func(line []byte)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineLimit)
	for s.Scan() {
		if begin := bytes.IndexByte(s.Bytes(), '{'); begin >= 0 {
			each(s.Bytes()[begin:])
		}
	}
	if err := s.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}
