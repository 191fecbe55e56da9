package measure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/configuration/source"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/wire/rpc"
)

const token = "join"

var tokenDigest = func() string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}()

func configurationMeasurements() []Measurement {
	addresses := []float64{100, 1000, 9800}
	return []Measurement{
		{Name: WholeBytes, Per: "address", Unit: "bytes on the wire", Sizes: addresses, Measure: wholeBytes},
		{Name: HeldBytes, Per: "address", Unit: "bytes held", Sizes: addresses, Measure: heldBytes},
		{Name: DeltaBytes, Per: "address", Unit: "bytes a change", Sizes: addresses, Measure: deltaBytes},
		{Name: DeltaMicros, Per: "address", Unit: "us to apply a change", Sizes: addresses, Measure: deltaMicros},
		{Name: FanoutMicros, Per: "follower", Unit: "us until the last follower has a change", Sizes: []float64{50, 150, 400}, Measure: fanoutMicros},
	}
}

// configurationOf returns a configuration with a total number of addresses, four per service.
func configurationOf(addresses int) configuration.Configuration {
	c := configuration.Configuration{Revision: 1, InForce: "ordinary"}
	for _, n := range []string{"ordinary", "peak", "maintenance"} {
		c.Presets = append(c.Presets, configuration.Preset{Name: n, SlotLimit: 2, QueueLimit: 50})
	}
	for i := 0; i < addresses; i += 4 {
		s := configuration.Service{Name: fmt.Sprintf("service-%d", i), Protocol: configuration.TCP, TokenSha256: tokenDigest}
		for j := i; j < i+4; j++ {
			s.Addresses = append(s.Addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(j >> 16), byte(j >> 8), byte(j)}), 443))
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// withOneServiceChanged returns the next revision of c, which differs in one service.
func withOneServiceChanged(c configuration.Configuration) configuration.Configuration {
	c.Services = slices.Clone(c.Services)
	c.Services[len(c.Services)/2].Priority++
	return c.WithRevision(c.Revision + 1)
}

func encodedBytes(v any) (float64, error) {
	b, err := cbor.Marshal(v)
	return float64(len(b)), err
}

// wholeBytes returns the encoded size of a configuration with the given number of addresses.
func wholeBytes(size float64) (float64, error) { return encodedBytes(configurationOf(int(size))) }

// heldBytes returns the heap bytes of a configuration with the given number of addresses.
func heldBytes(size float64) (float64, error) {
	before := heap()
	c := configurationOf(int(size))
	after := heap()
	runtime.KeepAlive(c)
	return after - before, nil
}

// deltaBytes returns the encoded size of a response that changes one service, with the given number
// of addresses in the configuration.
func deltaBytes(size float64) (float64, error) {
	c := configurationOf(int(size))
	return encodedBytes(history.Response{Deltas: []history.Delta{history.Diff(c, withOneServiceChanged(c))}})
}

// deltaMicros returns the time, in microseconds, to apply a change of one service to a configuration
// with the given number of addresses.
func deltaMicros(size float64) (float64, error) {
	c := configurationOf(int(size))
	response := history.Response{Deltas: []history.Delta{history.Diff(c, withOneServiceChanged(c))}}
	var applyErr error
	t := nanos(1, func() { _, applyErr = history.Apply(c, response) })
	return t / float64(time.Microsecond), applyErr
}

// fanoutMicros returns the time, in microseconds, until a change has reached the given number of
// followers, which all poll one source over TCP.
func fanoutMicros(size float64) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := source.New(func() bool { return true })
	c := configurationOf(1000)
	s.Publish(c)
	server := rpc.NewServer(func(string) {})
	s.Serve(server, groupToken)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("listen: %w", err)
	}
	go func() { _ = server.Serve(ctx, l) }()
	times := make([]float64, 0, rounds)
	for range rounds {
		c = withOneServiceChanged(c)
		t, err := timeFanout(ctx, s, c, l.Addr().String(), int(size))
		if err != nil {
			return 0, err
		}
		times = append(times, t)
	}
	return median(times), nil
}

const (
	fanoutTimeout = 20 * time.Second
	connectPause  = 500 * time.Millisecond
)

// timeFanout returns the time, in microseconds, from the publication of next until all followers have
// received it.
func timeFanout(ctx context.Context, s *source.Source, next configuration.Configuration, address string, followers int) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, fanoutTimeout)
	defer cancel()
	var wg sync.WaitGroup
	failures := make(chan error, followers)
	for range followers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := rpc.NewClient(address, groupToken)
			defer client.Close()
			q := source.Request{Revision: next.Revision - 1, Hold: fanoutTimeout}
			if _, err := rpc.Call[source.Request, history.Response](ctx, client, source.Method, q); err != nil {
				failures <- err
			}
		}()
	}
	time.Sleep(connectPause)
	start := time.Now()
	s.Publish(next)
	wg.Wait()
	t := float64(time.Since(start).Microseconds())
	select {
	case err := <-failures:
		return 0, err
	default:
		return t, nil
	}
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}
