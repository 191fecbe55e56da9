package balancer

import (
	"net/netip"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/wire/datagram"
	"wasabideal/internal/wire/rpc"
)

func (b *Balancer) tick() {
	t := time.NewTicker(b.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			_ = b.reduce(event.Event{Kind: event.Ticked})
			b.logInvalidDatagrams()
		}
	}
}

// logInvalidDatagrams logs the number of dropped datagrams. A line for each of them would let
// anyone who can send datagrams fill the disk.
func (b *Balancer) logInvalidDatagrams() {
	b.mu.Lock()
	bad := b.reducer.InvalidDatagrams()
	b.mu.Unlock()
	if bad == b.loggedInvalidDatagrams {
		return
	}
	if b.logLimiter.log(b.settings.Clock(), b.log, "invalid datagrams dropped", &BadInputError{Datagrams: bad - b.loggedInvalidDatagrams}) {
		b.loggedInvalidDatagrams = bad
	}
}

// reduce applies an event and executes its effects.
func (b *Balancer) reduce(e event.Event) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.apply(e)
	b.executeEffects()
	return err
}

func (b *Balancer) apply(e event.Event) error {
	now := b.settings.Clock()
	if b.settings.Trace != nil {
		if err := b.settings.Trace.Write(now, e); err != nil {
			b.logLimiter.log(now, b.log, "failed to write trace", err)
		}
	}
	return b.reducer.Reduce(now, e, &b.effects)
}

// executeEffects executes the reducer's effects. The caller holds the lock.
func (b *Balancer) executeEffects() {
	for i := range b.effects.Effects {
		x := &b.effects.Effects[i]
		switch x.Kind {
		case effect.ToUpstream:
			b.fabric.Queue(x.To, x.Data)
		case effect.ToPeer:
			b.peer.Queue(x.To, x.Data)
		case effect.Fetch:
			b.fetch(x.To)
		case effect.Drained:
			b.drainedOnce.Do(func() { close(b.drained) })
		case effect.Alarm:
			b.log.Error("alarm", "Text", x.Text)
		}
	}
	now := b.settings.Clock()
	for _, s := range []*datagram.Socket{b.fabric, b.peer} {
		if err := s.Flush(); err != nil && b.ctx != nil && b.ctx.Err() == nil {
			b.logLimiter.log(now, b.log, "failed to send datagrams", err)
		}
	}
	b.effects.Reset()
}

// fetch fetches a newer configuration from a peer, one request at a time.
func (b *Balancer) fetch(from netip.AddrPort) {
	if b.ctx == nil || !b.fetching.CompareAndSwap(false, true) {
		return
	}
	b.goRun(func() {
		defer b.fetching.Store(false)
		c := rpc.NewClient(from.String(), b.settings.GroupToken)
		defer c.Close()
		_ = b.puller.Poll(b.ctx, c, 0)
	})
}

// read receives datagrams in batches and applies each batch under one lock.
func (b *Balancer) read(s *datagram.Socket, kind event.Kind) {
	for {
		n, err := s.Read()
		if err != nil {
			return
		}
		b.mu.Lock()
		for i := range n {
			from, data := s.Datagram(i)
			_ = b.apply(event.Event{Kind: kind, From: from, Data: data})
		}
		b.executeEffects()
		b.mu.Unlock()
	}
}
