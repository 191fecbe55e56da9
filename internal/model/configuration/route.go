package configuration

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Class says how a route's requests may be treated.
//
// Operators may name classes that this version does not know. Such a word is kept as
// it is, so that the document reads back as it was sent, and its requests get the most
// careful treatment: they run at most once, and none of their flows ends early.
type Class string

// The classes of requests.
const (
	// Idempotent requests may be repeated after any failure.
	Idempotent Class = "Idempotent"
	// Unrepeatable requests run at most once.
	Unrepeatable Class = "Unrepeatable"
	// Upload requests carry large bodies and run at most once.
	Upload Class = "Upload"
	// Download requests have large answers and may be repeated after any failure.
	Download Class = "Download"
)

// unknownPrefix sets the operators' own words apart from the classes above.
const unknownPrefix = "Unknown:"

// UnknownClass returns the class that stands for an operator's own word.
func UnknownClass(word string) Class { return Class(unknownPrefix + word) }

// UnknownWord returns the operator's own word for a class that is not known here.
func (c Class) UnknownWord() (string, bool) { return strings.CutPrefix(string(c), unknownPrefix) }

// Repeatable says that requests of the class may run more than once.
func (c Class) Repeatable() bool { return c == Idempotent || c == Download }

// Backend is one service of a split route and its share of new flows.
type Backend struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Weight is the share relative to the other backends of the route.
	Weight int
}

// Route is an address that callers use, and where its new flows go.
type Route struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address netip.AddrPort
	// Service takes all new flows, unless Split divides them.
	Service string
	Split   []Backend
	Class   Class
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time.
	Objective time.Duration
	// Priority orders routes under overload; 0 is served first.
	Priority int
	// MaxAttempts is kept for the operator; callers make the attempts.
	MaxAttempts int
}

// Limits bound what callers may send; the balancer itself applies IdleTimeout.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// IdleTimeout is the silence after which an open flow may be forgotten.
	IdleTimeout time.Duration
}

// Backends returns the services that may take new flows of the route, with weights.
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
