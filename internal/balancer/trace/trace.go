package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
)

// lineLimit is the maximum length of a line, which holds a datagram in JSON.
const lineLimit = 1 << 20

// line is one line of a trace. The first line holds the settings, and each later line holds
// an event.
type line struct {
	Now      time.Time
	Settings *reducer.Settings `json:",omitempty"`
	Event    *event.Event      `json:",omitempty"`
}

// outputLine is a line of Replay's output: an effect or an error.
type outputLine struct {
	Now    time.Time
	Effect effect.Effect
	Error  string `json:",omitempty"`
}

// MalformedError reports a line of a trace that cannot be replayed.
type MalformedError struct {
	Line  int
	Cause error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("trace line %d cannot be replayed: %v", e.Line, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// NoSettingsError reports that a trace does not start with the settings.
type NoSettingsError struct{}

func (NoSettingsError) Error() string { return "the first line must hold Settings" }

// Writer writes a balancer's events to a stream.
type Writer struct{ encoder *json.Encoder }

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{encoder: json.NewEncoder(w)} }

// Begin writes the settings without the group's token, which is a secret.
func (w *Writer) Begin(now time.Time, s reducer.Settings) error {
	s.Swim.Token = ""
	return w.write(line{Now: now, Settings: &s})
}

// Write writes one event.
func (w *Writer) Write(now time.Time, e event.Event) error {
	return w.write(line{Now: now, Event: &e})
}

func (w *Writer) write(l line) error {
	if err := w.encoder.Encode(l); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// Replay applies the events of a trace to a new reducer and writes the resulting effects as JSON
// lines. Without the group's token, signed gossip is rejected.
func Replay(in io.Reader, out io.Writer, token string) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 1<<16), lineLimit)
	r := replayer{encoder: json.NewEncoder(out), token: token}
	for n := 1; s.Scan(); n++ {
		if err := r.replay(s.Bytes()); err != nil {
			return &MalformedError{Line: n, Cause: err}
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read trace: %w", err)
	}
	return nil
}

type replayer struct {
	encoder *json.Encoder
	token   string
	reducer *reducer.Reducer
}

func (r *replayer) replay(b []byte) error {
	var l line
	if err := json.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("decode line: %w", err)
	}
	if l.Settings != nil {
		l.Settings.Swim.Token = r.token
		r.reducer = reducer.New(*l.Settings, l.Now)
		return nil
	}
	if r.reducer == nil || l.Event == nil {
		return NoSettingsError{}
	}
	var effects effect.List
	reduceErr := r.reducer.Reduce(l.Now, *l.Event, &effects)
	if reduceErr != nil {
		return r.encoder.Encode(outputLine{Now: l.Now, Error: reduceErr.Error()})
	}
	for _, e := range effects.Effects {
		if err := r.encoder.Encode(outputLine{Now: l.Now, Effect: e}); err != nil {
			return fmt.Errorf("print effect: %w", err)
		}
	}
	return nil
}
