package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/audit"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/rostermanager"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/control/voter"
	"wasabideal/internal/cookie/allocation"
	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/disk/folder"
	"wasabideal/internal/disk/local"
	"wasabideal/internal/disk/wal"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/owner"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/status"
)

const identityFile = "identity.json"

// Settings configure a voter process.
type Settings struct {
	Name string
	// Zone is the voter's availability zone.
	Zone string
	// Shape is the shape of the balancers' trees.
	Shape tree.Shape
	// Rpc is the address to listen on for RPCs.
	Rpc string
	// Advertise is the address that other processes connect to. It is empty unless it differs
	// from the address listened on, as behind NAT.
	Advertise  string
	DataFolder string
	Founders   []agreement.Voter
	Heartbeat  time.Duration
	Election   time.Duration
	Tick       time.Duration
	// AcceptTimeout limits how long an operator's call waits until its change is accepted.
	AcceptTimeout time.Duration
	CompactAfter  int
	GroupToken    string
	OperatorToken string
	RosterManager rostermanager.Settings
	Clock         func() time.Time
	// JoinOnly prevents bootstrapping a new cluster, because one already exists.
	JoinOnly bool
	// Tolerate is the number of disks that may be lost at the same time.
	Tolerate int
	// InitialElectionTimeout is the maximum election timeout after a start; 0 means that
	// Election applies from the start.
	InitialElectionTimeout time.Duration
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// SilentAfter is the time without an announcement after which an upstream counts as
	// silent (see package directory).
	SilentAfter time.Duration
	// SharedLoad enables answers to the balancers' load reports.
	SharedLoad bool
}

const maxEntriesPerMessage = 256

// Control is a running voter process with its data folder and listener.
type Control struct {
	settings Settings
	log      hclog.Logger
	folder   *local.Folder
	listener net.Listener
	voter    *voter.Voter
	feed     *feed.Feed
	// upstreams receives the upstreams' announcements and records them in the feed.
	upstreams *upstreams.Receiver
	// follower receives the other voters' updates on upstreams, and remoteUpstreams stores
	// these updates.
	follower        *follower.Follower
	remoteUpstreams *remoteUpstreams
	server          *rpc.Server
	// load is nil if the balancers' load is not shared.
	load *loadService
	// callsLogged is when the numbers of served calls were last logged.
	callsLogged time.Time
	firstStates firstStatesLogged
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// firstStatesLogged is what the last log line on responses with all upstreams covered.
type firstStatesLogged struct {
	at                     time.Time
	responses, bytes, busy int
}

// Listen opens the data folder and listens on Settings.Rpc unless a listener is given.
func Listen(s Settings, listener net.Listener, log hclog.Logger) (*Control, error) {
	c := &Control{settings: s, log: log, listener: listener}
	if err := c.open(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *Control) open() error {
	var err error
	if c.listener == nil {
		if c.listener, err = net.Listen("tcp", c.settings.Rpc); err != nil {
			return fmt.Errorf("listen on Control.Rpc: %w", err)
		}
	}
	if c.folder, err = local.Open(c.settings.DataFolder); err != nil {
		return err
	}
	id, err := loadDiskID(c.folder)
	if err != nil {
		return err
	}
	w, durable, err := wal.Open(c.folder)
	if err != nil {
		return fmt.Errorf("open data folder %s: %w", c.settings.DataFolder, err)
	}
	trail, err := audit.Open(c.folder, c.log)
	if err != nil {
		return err
	}
	c.feed = feed.New(newProcessID(), directory.New(directory.Settings{
		SilentAfter: c.settings.SilentAfter, ForgetAfter: forgetAfter, RecentFor: allocation.MaxSettling,
	}), c.settings.Clock)
	c.voter, err = voter.New(c.voterSettings(id), w, durable, trail, c.log)
	if err != nil {
		return err
	}
	c.remoteUpstreams = newRemoteUpstreams(c.feed)
	c.follower = follower.New(follower.Settings{Token: c.settings.GroupToken, Clock: c.settings.Clock}, c.remoteUpstreams, c.log)
	c.upstreams = upstreams.New(upstreams.Settings{
		Token: c.settings.GroupToken, Clock: c.settings.Clock, Self: c.AdvertisedAddress(),
		Known: c.voter.Members, VotingPeers: c.voter.VotingMembers, Shape: c.settings.Shape,
		AnnounceInterval: c.settings.AnnounceInterval, Responsive: func() []owner.Voter {
			return append(c.follower.Voters(), owner.Voter{Address: c.AdvertisedAddress(), Zone: c.settings.Zone})
		},
	}, c.feed, c.log)
	c.feed.SetZone(c.settings.Zone)
	c.feed.SetVoters(c.voter.Members())
	c.feed.SetRemoteSource(c.remoteUpstreams)
	c.feed.SetProber(c.prober())
	c.restoreUpstreams()
	c.restoreClaims()
	c.server = rpc.NewServer(c.voter.RecordDenied)
	c.voter.Serve(c.server)
	c.feed.Serve(c.server, c.settings.GroupToken)
	c.upstreams.Serve(c.server)
	c.openLoad()
	rpc.Handle(c.server, status.Method, c.settings.OperatorToken, func(context.Context, empty) (status.Status, error) {
		return c.loadStatus(), nil
	})
	return nil
}

// newProcessID returns a random number that identifies this run of the process.
func newProcessID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented never to return an error
	return binary.LittleEndian.Uint64(b[:])
}

func (c *Control) voterSettings(id string) voter.Settings {
	s := c.settings
	seed := uint64(0)
	for _, b := range []byte(id) {
		seed = seed*31 + uint64(b)
	}
	return voter.Settings{
		Agreement: agreement.Settings{
			Self:     agreement.Voter{Name: s.Name, Id: id, Address: c.AdvertisedAddress()},
			Founders: s.Founders, Heartbeat: s.Heartbeat, Election: s.Election, Seed: seed,
			EntriesPerMessage: maxEntriesPerMessage, JoinOnly: s.JoinOnly, InitialElectionTimeout: s.InitialElectionTimeout,
			Tolerate: s.Tolerate,
		},
		Reopen:     func() (*wal.Log, agreement.PersistentState, error) { return wal.Open(c.folder) },
		Changed:    c.feed.Publish,
		Evacuated:  c.feed.PublishEvacuations,
		GroupToken: s.GroupToken, OperatorToken: s.OperatorToken, CompactAfter: s.CompactAfter,
		RosterManager: s.RosterManager, Tick: s.Tick, AcceptTimeout: s.AcceptTimeout, Clock: s.Clock,
	}
}

// identityRecord identifies a disk from its first use until it is lost.
type identityRecord struct{ Id string }

// loadDiskID returns the disk's id. It creates an id on an empty disk, since a voter that lost
// its disk must not vote under its former id.
func loadDiskID(f folder.Folder) (string, error) {
	b, err := f.ReadFile(identityFile)
	if err == nil {
		var r identityRecord
		if err := json.Unmarshal(b, &r); err != nil {
			return "", &wal.CorruptError{File: identityFile, Reason: err.Error()}
		}
		return r.Id, nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("read identity: %w", err)
	}
	r := identityRecord{Id: rand.Text()}
	if b, err = json.Marshal(r); err != nil {
		return "", fmt.Errorf("encode identity: %w", err)
	}
	return r.Id, folder.Replace(f, identityFile, b)
}

// Start starts serving in the background.
func (c *Control) Start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.follower.Start(ctx, lo.Map(c.settings.Founders, func(v agreement.Voter, _ int) string { return v.Address }))
	c.running.Add(4)
	go func() {
		defer c.running.Done()
		c.runTicker(ctx)
	}()
	go func() {
		defer c.running.Done()
		c.saveUpstreams(ctx)
	}()
	go func() {
		defer c.running.Done()
		c.voter.Run(ctx)
	}()
	go func() {
		defer c.running.Done()
		if err := c.server.Serve(ctx, c.listener); err != nil && ctx.Err() == nil {
			c.log.Error("RPC server stopped", "Error", err)
		}
	}()
	c.startLoad()
}

// Voter returns the voter.
func (c *Control) Voter() *voter.Voter { return c.voter }

// Upstreams returns the receiver of upstreams' announcements.
func (c *Control) Upstreams() *upstreams.Receiver { return c.upstreams }

// AdvertisedAddress returns the RPC address that other processes use.
func (c *Control) AdvertisedAddress() string { return cmp.Or(c.settings.Advertise, c.Address()) }

// Address returns the address that the voter listens on.
func (c *Control) Address() string { return c.listener.Addr().String() }

// Stop ends the voter's goroutines and closes its listener and data folder. A leader first
// transfers its leadership, and each voter leaves the list of voters if it can.
func (c *Control) Stop() {
	if c.cancel != nil {
		c.voter.TransferLeadership()
		c.voter.Leave()
		c.cancel()
	}
	_ = c.listener.Close()
	c.closeLoad()
	c.follower.Wait()
	c.running.Wait()
	_ = c.folder.Close()
}

func (c *Control) close() {
	if c.listener != nil {
		_ = c.listener.Close()
	}
	c.closeLoad()
	if c.folder != nil {
		_ = c.folder.Close()
	}
}
