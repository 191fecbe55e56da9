//go:build review

package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// words are the platform's names by their names here, from review/platform/calls.txt.
type words map[string]string

func readWords() (words, error) {
	b, err := os.ReadFile(filepath.Join("review", "platform", "calls.txt"))
	if err != nil {
		return nil, err
	}
	w := words{}
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		name, text, _ := strings.Cut(line, " ")
		w[name] = text
	}
	return w, nil
}

// Record writes what was sent, answered and seen to a file and to standard output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, begun: time.Now()}, err
}

// Write appends a line with the time since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line)
}

// callTimeout is how long callers wait for a response before they turn to another machine.
const callTimeout = time.Second

// Call sends one call of the platform to a machine. Status is 0 if no response came.
func (s *Site) Call(m *Machine, name string, replace map[string]string, body []byte) (status int, response []byte) {
	method, path, _ := strings.Cut(s.words[name], " ")
	for from, to := range replace {
		path = strings.Replace(path, from, to, 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.Control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	// Each call uses its own connection, so that no connection outlives a process.
	r.Close = true
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	response, err = io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, response
}

// Configuration returns the document of a version; its content depends on the version.
func (s *Site) Configuration(version int) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join("review", "platform", "configuration.json"))
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer("$VERSION", fmt.Sprint(version), "$TIMEOUT", fmt.Sprint(1500+version), "$COLD", s.cold).Replace(string(b))
	return []byte(text), nil
}

// Publish sends a version to the machines in turn until one acknowledges it, for at most the given
// time. It returns that machine, or nil.
func (s *Site) Publish(version int, to []*Machine, within time.Duration) *Machine {
	body, err := s.Configuration(version)
	if err != nil {
		s.Record.Write("version %d: %v", version, err)
		return nil
	}
	pause := 100 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); {
		for _, m := range to {
			status, _ := s.Call(m, "publish", nil, body)
			s.Record.Write("version %d sent to %s: status %d", version, m.Name, status)
			if status == http.StatusOK {
				return m
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return nil
}

// Read asks one machine for the configuration and returns its version, 0 if it does not come.
func (s *Site) Read(m *Machine) int {
	status, body := s.Call(m, "read", nil, nil)
	var c struct{ Version int }
	if status == http.StatusOK && json.Unmarshal(body, &c) != nil {
		status = 0
	}
	s.Record.Write("configuration asked of %s: status %d, version %d", m.Name, status, c.Version)
	return c.Version
}

// SetCold sets what the services' cold targets bear, for the configurations that are sent from now on.
func (s *Site) SetCold(d time.Duration, perSecond float64) {
	b, err := os.ReadFile(filepath.Join("review", "platform", "cold.json"))
	if err != nil {
		s.Record.Write("%v", err)
		return
	}
	s.cold = strings.NewReplacer("$SECONDS", fmt.Sprint(d.Seconds()), "$RATE", fmt.Sprint(perSecond)).Replace(strings.TrimSpace(string(b)))
}

// Ready reports whether a machine answers the routers' check with 200.
func (s *Site) Ready(m *Machine) bool {
	_, path, _ := strings.Cut(s.words["ready"], " ")
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + m.IP + ":8167" + path)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// WaitReady waits until all machines are ready.
func (s *Site) WaitReady(fronts []*Machine, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range fronts {
			all = all && s.Ready(m)
		}
		if all {
			return true
		}
	}
	return false
}
