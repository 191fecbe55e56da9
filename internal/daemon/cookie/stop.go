package cookie

import "time"

// Stop ends the process in the planned way: readiness fails first, and packets
// are forwarded until the fabric sends none any more.
func (b *Balancer) Stop() {
	b.leaving.Store(true)
	if b.fanout != nil {
		// Followers turn to another balancer while this one still answers.
		b.fanout.relay.Wake()
	}
	begun := b.settings.Clock()
	b.log.Info("leaving", "Timeout", b.settings.StopTimeout.String())
	t := time.NewTicker(tick)
	defer t.Stop()
	for range t.C {
		now := b.settings.Clock()
		if spent := now.Sub(begun); spent >= b.settings.StopTimeout || spent >= leaveFirst && b.quiet(now) {
			break
		}
	}
	b.Kill()
}

func (b *Balancer) quiet(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.lastPacket) >= quietStop
}

// Kill ends the process at once.
func (b *Balancer) Kill() {
	b.cancel()
	b.socket.Close()
	if b.fanout != nil {
		_ = b.fanout.listener.Close()
	}
	b.follower.Wait()
	b.running.Wait()
}
