package configuration

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Class determines how a route's requests may be handled. The name of a class that this version
// does not know is stored unchanged, so that operators read back the document that they sent.
// Requests of such a class get the safest handling: they run at most once, and a flow with a
// pending request is not reset when its upstream becomes unresponsive.
type Class string

// The classes of requests.
const (
	// Idempotent requests may be repeated after any failure.
	Idempotent Class = "Idempotent"
	// Unrepeatable requests run at most once.
	Unrepeatable Class = "Unrepeatable"
	// Upload requests carry large bodies and run at most once.
	Upload Class = "Upload"
	// Download requests have large responses and may be repeated after any failure.
	Download Class = "Download"
)

// unknownPrefix distinguishes unknown class names from the classes above.
const unknownPrefix = "Unknown:"

// UnknownClass returns the class for a name that this version does not know.
func UnknownClass(name string) Class { return Class(unknownPrefix + name) }

// UnknownName returns the operator's name of a class that this version does not know, and
// whether c is such a class.
func (c Class) UnknownName() (string, bool) { return strings.CutPrefix(string(c), unknownPrefix) }

// Repeatable reports whether requests of the class may run more than once.
func (c Class) Repeatable() bool { return c == Idempotent || c == Download }

// Backend is a service of a split route with its share of new flows.
type Backend struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Weight is the share relative to the other backends of the route.
	Weight int
}

// Route maps an address that callers use to the services of its new flows.
type Route struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address netip.AddrPort
	// Service gets all new flows, unless Split is set.
	Service string
	Split   []Backend
	Class   Class
	// Timeout is how long a caller waits for a response.
	Timeout time.Duration
	// Objective is the latency objective of responses.
	Objective time.Duration
	// Priority ranks routes under overload; priority 0 is served first.
	Priority int
	// MaxAttempts is stored only for operators to read back; callers make the attempts.
	MaxAttempts int
}

// Limits are the limits for callers. They are stored only for operators to read back.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// IdleTimeout is the idle time after which an open flow may be removed.
	IdleTimeout time.Duration
}

// Backends returns the services for new flows of the route, with their weights.
func (r Route) Backends() []Backend {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Backend{{Service: r.Service, Weight: 1}}
}

func (c Configuration) checkRoutes() error {
	services := lo.SliceToMap(c.Services, func(s Service) (string, bool) { return s.Name, true })
	addresses := map[netip.AddrPort]string{}
	names := map[string]bool{}
	for _, r := range c.Routes {
		if r.Name == "" || names[r.Name] {
			return &InvalidError{Key: "Routes.Name", Value: r.Name, Allowed: "a name, each once"}
		}
		names[r.Name] = true
		if err := r.check(services); err != nil {
			return err
		}
		if o, ok := addresses[r.Address]; ok {
			return &InvalidError{Key: "Routes." + r.Name + ".Address", Value: r.Address.String(), Allowed: "an address not held by " + o}
		}
		addresses[r.Address] = r.Name
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
	key := "Routes." + r.Name
	if !r.Address.IsValid() || !r.Address.Addr().Is4() || r.Address.Port() == 0 {
		return &InvalidError{Key: key + ".Address", Value: r.Address.String(), Allowed: "IPv4:port"}
	}
	if r.Timeout <= 0 {
		return &InvalidError{Key: key + ".Timeout", Value: r.Timeout.String(), Allowed: "more than 0"}
	}
	total := 0
	for _, b := range r.Backends() {
		if !services[b.Service] {
			return &InvalidError{Key: key + ".Service", Value: b.Service, Allowed: "the name of a service"}
		}
		if b.Weight < 0 {
			return &InvalidError{Key: key + ".Split.Weight", Value: fmt.Sprint(b.Weight), Allowed: "0 or more"}
		}
		total += b.Weight
	}
	if total <= 0 {
		return &InvalidError{Key: key + ".Split", Value: "0", Allowed: "weights that add up to more than 0"}
	}
	return nil
}
