package control_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/model/configuration"
)

const (
	patience = 20 * time.Second
	pace     = 20 * time.Millisecond
)

// fleet is some voters as processes on loopback, with real sockets and disks.
type fleet struct {
	t        *testing.T
	founders []agreement.Voter
	running  map[string]*control.Control
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, running: map[string]*control.Control{}}
	listeners := make([]net.Listener, n)
	for i := range listeners {
		listeners[i] = listen(t, "127.0.0.1:0")
		address := listeners[i].Addr().String()
		f.founders = append(f.founders, agreement.Voter{Name: address, Address: address})
	}
	for _, l := range listeners {
		f.start(l, false)
	}
	t.Cleanup(func() {
		for _, c := range f.running {
			c.Stop()
		}
	})
	return f
}

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return l
}

// start starts a voter with an empty disk.
func (f *fleet) start(l net.Listener, joins bool) *control.Control {
	name := l.Addr().String()
	c, err := control.Listen(control.Settings{
		Name: name, DataFolder: f.t.TempDir(), Founders: f.founders, Joins: joins,
		Heartbeat: 30 * time.Millisecond, Election: 150 * time.Millisecond, Tick: 10 * time.Millisecond,
		AcceptTimeout: time.Second, CompactAfter: 8, GroupToken: "group", OperatorToken: "operator", Clock: time.Now,
		SilentAfter: time.Second,
	}, l, hclog.NewNullLogger())
	require.NoError(f.t, err)
	c.Start(context.Background())
	f.running[name] = c
	return c
}

func (f *fleet) stop(name string) {
	f.running[name].Stop()
	delete(f.running, name)
}

// voting waits until one voter leads a list of n that all vote.
func (f *fleet) voting(n int) {
	require.Eventually(f.t, func() bool {
		for _, c := range f.running {
			r := c.Voter().Report()
			if r.Role != agreement.Leader || len(r.Voters) != n {
				continue
			}
			learners := 0
			for _, v := range r.Voters {
				if v.Learner {
					learners++
				}
			}
			return learners == 0
		}
		return false
	}, patience, pace)
}

func (f *fleet) publish(revision uint64) {
	require.Eventually(f.t, func() bool {
		for _, c := range f.running {
			a, err := c.Voter().Publish(context.Background(), configuration.Configuration{Revision: revision}, fmt.Sprint("revision-", revision), "test")
			if err == nil {
				return a.Verdict == ledger.Accepted || a.Verdict == ledger.Superseded
			}
		}
		return false
	}, patience, pace)
}

// Symptom: after two voters had lost their disks one after the other, no voter
// led any more, and configurations were older than those acknowledged.
// Events: a voter that is not among the founders starts; or one comes back with
// an empty disk. The leader takes it in as a learner and sends it the log.
// Cause: such a voter has no list of voters yet and could not address its
// answers to the leader's id, so that it never got a vote.
func TestNewVotersAnswerTheLeader(t *testing.T) {
	f := newFleet(t, 3)
	f.voting(3)
	f.publish(5)
	f.start(listen(t, "127.0.0.1:0"), true)
	f.voting(4)
	lost := f.founders[1].Address
	f.stop(lost)
	f.start(listen(t, lost), true)
	f.voting(4)
	f.publish(6)
	c, err := f.running[lost].Voter().Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(6), c.Revision)
}
