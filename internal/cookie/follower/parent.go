package follower

import (
	"context"
	"time"

	"wasabideal/internal/fanout/census"
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
	if a.Evacuations != nil {
		f.listener.Evacuated(address, *a.Evacuations)
		news = true
	}
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
	f.sized(address, a.Balancers)
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
	evacuations := f.listener.Evacuations().Revision
	f.mu.Lock()
	defer f.mu.Unlock()
	return relay.Question{
		Evacuations: evacuations,
		From:        f.settings.Self.Address, Hold: parentHold, Revision: f.fetcher.revision(address),
		Fleet: f.census.Of(address).Version, Known: f.origins.Known(f.settings.Clock()),
	}
}
