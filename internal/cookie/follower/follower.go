package follower

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/wire/rpc"
)

const (
	// hold is how long a voter may keep a question without news. It is the time
	// in which a connection that went silent is noticed, together with grace.
	hold = 800 * time.Millisecond
	// grace is the time beyond hold after which an answer is given up: several
	// round trips to the farthest zone, and a slow voter's turn.
	grace = 700 * time.Millisecond
	// forgetAfter is how long a voter that no other names any more is asked in vain.
	forgetAfter = 30 * time.Second
)

// ContactLease is how long a voter's word on who is alive holds: two questions that
// got no answer.
const ContactLease = 2 * (hold + grace)

// Listener takes what voters answer; calls come from several goroutines.
type Listener interface {
	// Held returns the configuration in force.
	Held() configuration.Configuration
	// Informed says that upstreams are known already.
	Informed() bool
	// Offered takes a configuration of the voter at an address.
	Offered(address string, c configuration.Configuration)
	// Answered takes the news of the voter at an address.
	Answered(address string, a feed.Answer)
}

// Follower asks all voters it knows.
type Follower struct {
	token    string
	from     string
	clock    func() time.Time
	log      hclog.Logger
	listener Listener
	mu       sync.Mutex
	ctx      context.Context
	asking   map[string]bool
	named    map[string]time.Time
	// reporters are those of the voters whose last question was answered.
	reporters map[string]*reporter
	fetcher   *fetcher
	running   sync.WaitGroup
}

// New returns a follower that begins with Start; from names it to voters, and is empty
// for a voter.
func New(token, from string, clock func() time.Time, l Listener, log hclog.Logger) *Follower {
	return &Follower{
		token: token, from: from, clock: clock, log: log, listener: l, asking: map[string]bool{}, named: map[string]time.Time{},
		reporters: map[string]*reporter{}, fetcher: newFetcher(token, l, log),
	}
}

// Start begins to ask; it ends with the context.
func (f *Follower) Start(ctx context.Context, sources []string) {
	f.ctx = ctx
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		f.fetcher.run(ctx)
	}()
	f.Name(sources)
}

// Wait returns when all asking has ended.
func (f *Follower) Wait() { f.running.Wait() }

// Report tells the voters that answer of upstreams that do not, or do again.
func (f *Follower) Report(events []word.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reporters {
		r.tell(events)
	}
}

// takesReports notes whether a voter answers, so that it can be told of silence.
func (f *Follower) takesReports(address string, r *reporter, answers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answers {
		f.reporters[address] = r
	} else {
		delete(f.reporters, address)
	}
}

// Name tells of voters' addresses; those not known yet are asked from now on.
func (f *Follower) Name(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, a := range addresses {
		f.named[a] = now
		if f.asking[a] || f.ctx.Err() != nil {
			continue
		}
		f.asking[a] = true
		f.running.Add(1)
		go f.ask(a)
	}
}

// over says, and notes, that a voter need not be asked any more.
func (f *Follower) over(address string, failing time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failing < forgetAfter || f.clock().Sub(f.named[address]) < forgetAfter {
		return false
	}
	delete(f.asking, address)
	delete(f.named, address)
	return true
}

func (f *Follower) ask(address string) {
	defer f.running.Done()
	client := rpc.NewClient(address, f.token)
	client.SetDialTimeout(dialAlone)
	defer client.Close()
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	reporter := newReporter(f.token, f.from, address, f.clock, f.log)
	defer f.takesReports(address, reporter, false)
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		reporter.run(ctx)
	}()
	var q feed.Question
	var again retry
	answered, failing := f.clock(), false
	for f.ctx.Err() == nil {
		err := f.once(client, address, &q)
		f.takesReports(address, reporter, err == nil)
		if err == nil {
			if failing {
				f.log.Info("voter answers again", "Address", address)
			}
			again, answered, failing = retry{}, f.clock(), false
			continue
		}
		if !failing && f.ctx.Err() == nil {
			f.log.Warn("voter does not answer", "Address", address, "Error", err)
		}
		failing = true
		if f.over(address, f.clock().Sub(answered)) {
			return
		}
		pause, dial := again.next(f.alone())
		client.SetDialTimeout(dial)
		select {
		case <-f.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// alone says that no voter answers.
func (f *Follower) alone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reporters) == 0
}

func (f *Follower) once(client *rpc.Client, address string, q *feed.Question) error {
	held := f.listener.Held()
	q.Hold, q.Recalled, q.From, q.Encoded, q.Unconfigured = hold, !f.listener.Informed(), f.from, true, held.Revision == 0 && f.alone()
	ctx, cancel := context.WithTimeout(f.ctx, hold+grace)
	defer cancel()
	a, err := rpc.Call[feed.Question, feed.Answer](ctx, client, feed.SinceMethod, *q)
	if err != nil {
		return err
	}
	if a, err = a.Decoded(); err != nil {
		return err
	}
	if len(a.Configuration) > 0 {
		f.offer(address, held, a.Configuration)
	}
	q.Revision, q.Life, q.Version, q.Doubts = a.Revision, a.Life, a.Version, a.DoubtsVersion
	f.listener.Answered(address, a)
	f.fetcher.tell(address, a.Revision)
	f.Name(a.Members)
	return nil
}

// offer passes on the configuration that came with the news.
func (f *Follower) offer(address string, held configuration.Configuration, encoded cbor.RawMessage) {
	var a history.Answer
	err := cbor.Unmarshal(encoded, &a)
	if err == nil {
		held, err = history.Follow(held, a)
	}
	if err != nil {
		f.log.Warn("configuration with the news cannot be read", "Address", address, "Error", err)
		return
	}
	f.listener.Offered(address, held)
}
