//go:build review

// Command 2 restarts a balancer as planned while two targets have one cookie.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/review/harness"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	work = 22 * time.Millisecond
	// heldFlows is the number of long flows of the first zone's clients.
	heldFlows = 60
)

var zones = []string{"port-tawfik", "adabiya", "ismailia"}

func main() {
	record, err := harness.NewRecord("review/2/record.txt")
	if err == nil {
		var code int
		if code, err = run(record, os.Getenv("TROUBLE") != "0"); err == nil {
			os.Exit(code)
		}
	}
	fmt.Println("the case could not run:", err)
	os.Exit(failed)
}

// sameCookie returns an id below another target's whose cookie is that of the other target.
func sameCookie(id uint64, born, ownBorn int64) uint64 {
	high := (id>>32 - 1) << 32
	return high | uint64(router.Cookie(id, uint64(born))^router.Cookie(high, uint64(ownBorn)))
}

func run(record *harness.Record, trouble bool) (int, error) {
	site, err := harness.NewSite(record)
	if err != nil {
		return failed, err
	}
	defer site.Close()
	var core, fronts []*harness.Machine
	byZone := map[string][]*harness.Machine{}
	for i, z := range zones {
		core = append(core, site.Add("core", "core-"+z+"-1", z))
		for n := range []int{2, 3, 2}[i] {
			m := site.Add("front", fmt.Sprintf("front-%s-%d", z, n+1), z)
			fronts = append(fronts, m)
			byZone[z] = append(byZone[z], m)
		}
	}
	for _, m := range append(slices.Clone(core), fronts...) {
		if err := m.Start(core, true); err != nil {
			return failed, err
		}
	}
	if site.Publish(5, core, 10*time.Second) == nil {
		return failed, fmt.Errorf("the configuration was not acknowledged")
	}
	var targets []*harness.Target
	add := func(id uint64, born int64, zone string) error {
		t, err := site.NewTargetBorn(id, born, 100+len(targets), zone, "desk7a", core, work, 0)
		targets = append(targets, t)
		return err
	}
	born := time.Now().UnixMilli()
	for n := range 6 {
		if err := add(0x5203cb8300+uint64(n)*0x0101010101, born, zones[n%3]); err != nil {
			return failed, err
		}
	}
	defer func() {
		for _, t := range targets {
			t.End()
		}
	}()
	if !site.WaitReady(fronts, 10*time.Second) {
		return failed, fmt.Errorf("the machines did not become ready")
	}
	time.Sleep(2 * time.Second)

	// One more target starts; its cookie is that of the first one.
	now := time.Now().UnixMilli()
	id := sameCookie(targets[0].ID, born, now)
	if err := add(id, now, zones[0]); err != nil {
		return failed, err
	}
	record.Write("target i-%x starts at %s; i-%x has the same cookie %08x", id, zones[0], targets[0].ID, router.Cookie(id, uint64(now)))
	time.Sleep(3 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	clients, err := site.NewClients(200, byZone[zones[0]], "198.18.0.1:8443")
	if err != nil {
		return failed, err
	}
	go clients.CheckReady(ctx)
	var flows sync.WaitGroup
	for range heldFlows {
		flows.Add(1)
		go func() {
			defer flows.Done()
			clients.Hold(ctx, 700*time.Millisecond)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		m := byZone[zones[0]][0]
		if err := m.Stop(); err != nil {
			return failed, err
		}
		time.Sleep(500 * time.Millisecond)
		if err := m.Start(core, false); err != nil {
			return failed, err
		}
	}
	time.Sleep(8 * time.Second)
	stop()
	flows.Wait()
	code := judge(record, targets, clients)
	record.Write("requests on long flows: %d sent, %d answered, %d failed", clients.Asked.Load(), clients.Answered.Load(), clients.Failed.Load())
	for _, m := range append(core, fronts...) {
		if err := m.Check(); err != nil {
			record.Write("%v", err)
			code = broken
		}
	}
	return code, nil
}

// judge finds open flows whose client got a reset that the flow's target didn't send.
func judge(record *harness.Record, targets []*harness.Target, clients *harness.Clients) int {
	opened := map[netip.AddrPort]*harness.Target{}
	resets := map[netip.AddrPort][]*harness.Target{}
	for _, t := range targets {
		flows := 0
		for _, e := range t.Events() {
			if e.Opened {
				opened[e.Flow] = t
				flows++
			} else {
				resets[e.Flow] = append(resets[e.Flow], t)
			}
		}
		record.Write("target i-%x at %s: %d flows opened", t.ID, t.Zone, flows)
	}
	code := held
	for _, r := range clients.Resets() {
		t := opened[r.Flow]
		if t == nil || slices.Contains(resets[r.Flow], t) {
			record.Write("reset of flow %s, open at no target or sent by its target", r.Flow)
			continue
		}
		by := "the system"
		if len(resets[r.Flow]) > 0 {
			by = fmt.Sprintf("target i-%x, which got its packets", resets[r.Flow][0].ID)
		}
		record.Write("BROKEN, FLOW: flow %s is open at target i-%x, which lives; its client got a reset from %s", r.Flow, t.ID, by)
		code = broken
	}
	return code
}
