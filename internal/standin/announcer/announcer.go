package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const postTimeout = 2 * time.Second

// Announcement describes an upstream and its state to the balancers.
type Announcement struct {
	Service     string
	Address     string
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Door        string
	Slots       uint16
	State       string
}

// RefusedError reports an announcement that a balancer rejected.
type RefusedError struct {
	Status int
	Text   string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement rejected with status %d: %s", e.Status, e.Text)
}

// Announcer sends an announcement periodically to the first balancer that accepts it.
type Announcer struct {
	mu           sync.Mutex
	announcement Announcement
	token        string
	balancers    func() []string
	client       *http.Client
}

// New returns an announcer. balancers returns the admin addresses in order of preference.
func New(a Announcement, token string, balancers func() []string) *Announcer {
	return &Announcer{announcement: a, token: token, balancers: balancers, client: &http.Client{Timeout: postTimeout}}
}

// SetState changes the announced state and sends the announcement immediately.
func (a *Announcer) SetState(ctx context.Context, state string) error {
	a.mu.Lock()
	a.announcement.State = state
	a.mu.Unlock()
	return a.Announce(ctx)
}

// Run sends the announcement at the given interval until the context is done.
func (a *Announcer) Run(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		_ = a.Announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Announce sends the announcement once. If no balancer accepts the announcement, the error of the
// last balancer is returned.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	a.announcement.Sequence++
	announcement := a.announcement
	a.mu.Unlock()
	body, err := json.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	for _, address := range a.balancers() {
		if err = a.post(ctx, address, body); err == nil {
			return nil
		}
	}
	return err
}

func (a *Announcer) post(ctx context.Context, address string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build announcement: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+a.token)
	response, err := a.client.Do(r)
	if err != nil {
		return fmt.Errorf("send announcement: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	message, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
	if response.StatusCode != http.StatusNoContent {
		return &RefusedError{Status: response.StatusCode, Text: string(bytes.TrimSpace(message))}
	}
	return nil
}
