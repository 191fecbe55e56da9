package follower

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wasabideal/internal/fanout/census"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/relay"
	"wasabideal/internal/wire/rpc"
)

const (
	// parentHold is how long a parent may keep a question without news, and parentGrace
	// the time beyond it after which it counts as failed. What is heard of a voter grows
	// older by parentHold with each level at the most: three levels stay below the
	// voters' ContactLease.
	parentHold  = 600 * time.Millisecond
	parentGrace = 400 * time.Millisecond
	// idlePause keeps a balancer from asking again at once where an answer had no news.
	idlePause = 20 * time.Millisecond
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// askParent asks a balancer until the context ends or it fails.
func (f *Follower) askParent(ctx context.Context, address string) {
	client := rpc.NewClient(address, f.settings.Token)
	defer client.Close()
	for ctx.Err() == nil {
		began := f.settings.Clock()
		news, err := f.askParentOnce(ctx, client, address)
		if err != nil {
			f.parentFailed(ctx, address, err)
			return
		}
		if !news && f.settings.Clock().Sub(began) < idlePause {
			select {
			case <-ctx.Done():
			case <-time.After(idlePause):
			}
		}
	}
}

func (f *Follower) parentFailed(ctx context.Context, address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		// It is not asked any more.
		return
	}
	f.log.Info("balancer does not answer", "Address", address, "Error", err)
	now := f.settings.Clock()
	delete(f.watches, address)
	f.census.Drop(now, address)
	f.selection.Failed(now, address)
	f.steer(now)
}

func (f *Follower) askParentOnce(ctx context.Context, client *rpc.Client, address string) (bool, error) {
	q := f.parentQuestion(address)
	call, cancel := context.WithTimeout(ctx, parentHold+parentGrace)
	defer cancel()
	sent := f.settings.Clock()
	a, err := rpc.Call[relay.Question, relay.Answer](call, client, relay.SinceMethod, q)
	if err != nil {
		return false, err
	}
	now := f.settings.Clock()
	// All the way there and back is added to the ages: they are never too small.
	way := max(now.Sub(sent)-a.Held, 0)
	news, fresh := a.Revision > q.Revision, 0
	for _, x := range a.Origins {
		x.Age += way
		if x.Age <= f.settings.StaleAfter {
			fresh++
		}
		if f.take(now, x) {
			news = true
		}
	}
	f.fetcher.tell(address, a.Revision)
	if q.Fleet != a.FleetVersion || len(a.Fleet) > 0 {
		f.takeFleet(address, census.List{Version: a.FleetVersion, Members: a.Fleet})
		news = true
	}
	f.mu.Lock()
	f.selection.Answered(now, address, fresh)
	f.mu.Unlock()
	f.hearOf(a.Voters)
	return news, nil
}

func (f *Follower) parentQuestion(address string) relay.Question {
	f.mu.Lock()
	defer f.mu.Unlock()
	return relay.Question{
		From: f.settings.Self.Address, Hold: parentHold, Revision: f.fetcher.revision(address),
		Fleet: f.census.Of(address).Version, Known: f.origins.Known(f.settings.Clock()),
	}
}

// News answers a balancer that follows this one, but for the revision and the notices.
func (f *Follower) News(now time.Time, q relay.Question) (relay.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	origins, news := f.origins.After(now, q.Known)
	a := relay.Answer{
		Origins: origins, FleetVersion: f.census.Version(),
		Voters: lo.Filter(lo.Keys(f.named), func(v string, _ int) bool { return now.Sub(f.named[v]) < forgetAfter }),
	}
	if q.Fleet != a.FleetVersion {
		a.Fleet = f.census.Members()
	}
	return a, news
}

// Attend notes the balancers that follow this one.
func (f *Follower) Attend(now time.Time, all []members.Attendance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		f.followers.Hear(now, a)
	}
}

// attendance returns whom to report to a source: nobody where it is not the way up.
func (f *Follower) attendance(address string) []members.Attendance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil || !lo.Contains(f.upward(), address) {
		return nil
	}
	all := f.followers.Attendances(f.settings.Clock())
	if w := f.watches[address]; w != nil && !w.voter {
		// A voter hears of the balancer itself by its questions.
		all = append(all, members.Attendance{Member: f.settings.Self})
	}
	return all
}

// Standing is whom the balancer follows and how old its knowledge is.
type Standing struct {
	// Parent is empty where the voters are followed.
	Parent string
	Level  int
	// Fresh is how many voters were in touch lately, directly or not.
	Fresh int
	// Balancers is how many of the zone are known, Followers how many follow this one,
	// directly or not.
	Balancers, Followers int
	// Age is the time since the voter was in touch that was heard of last.
	Age time.Duration
}

// Level is the balancer's level in the tree of its zone.
func (f *Follower) Level() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil {
		return 0
	}
	return f.selection.Level()
}

// Standing returns whom the balancer follows.
func (f *Follower) Standing(now time.Time) Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Standing{
		Fresh: f.origins.Fresh(now, f.settings.StaleAfter), Balancers: len(f.census.Members()),
		Followers: len(f.followers.Attendances(now)),
	}
	for i, k := range f.origins.Known(now) {
		if i == 0 || k.Age < s.Age {
			s.Age = k.Age
		}
	}
	if f.selection != nil {
		s.Parent, s.Level = f.selection.Parent(), f.selection.Level()
	}
	return s
}
