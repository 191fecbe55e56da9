package cookie

import "time"

// Stop stops the process gracefully: first the readiness check fails, then packets are forwarded
// until the fabric sends no more.
func (b *Balancer) Stop() {
	b.leaving.Store(true)
	if b.fanout != nil {
		// Followers switch to another balancer while this one still responds.
		b.fanout.relay.NotifyNow()
	}
	begun := b.settings.Clock()
	b.log.Info("leaving", "Timeout", b.settings.StopTimeout.String())
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for range t.C {
		now := b.settings.Clock()
		if spent := now.Sub(begun); spent >= b.settings.StopTimeout || spent >= minDrainTime && b.quiet(now) {
			break
		}
	}
	b.Kill()
}

func (b *Balancer) quiet(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.lastPacket) >= drainQuietPeriod
}

// Kill stops the process without draining.
func (b *Balancer) Kill() {
	b.cancel()
	b.socket.Close()
	if b.fanout != nil {
		_ = b.fanout.listener.Close()
	}
	if b.load != nil {
		b.load.socket.Close()
	}
	b.follower.Wait()
	b.running.Wait()
}
