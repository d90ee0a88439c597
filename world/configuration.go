// Package world is what a daemon believes of the platform: the configuration that
// operators have published, the backend servers that are registered, and the weight
// versions that are declared.
//
// A Configuration is immutable, so a request keeps the one that it was read under
// from its route to its answer. A View joins the newest of everything; a daemon
// replaces it as a whole.
package world

import (
	"hash/fnv"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by events with increasing ids.
	Stream
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests below a path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or the first event, that earns full credit.
	Target time.Duration
	// TargetGap is the longest pause between events that earns full credit.
	TargetGap time.Duration
	// Patience is the time without an event after which callers leave a stream.
	Patience time.Duration
	// Rank orders routes by urgency, 0 first.
	Rank     int
	Shares   []Share
	Attempts int
	// Public routes need no key.
	Public bool
	// Generates is set for requests to model engines.
	Generates bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ServiceFor returns the service of a request. Requests with the same id go to the
// same one.
func (r *Route) ServiceFor(id string) string {
	if len(r.Shares) == 0 {
		return ""
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	point := int(hash.Sum32() % uint32(total))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Shares[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// Step is the time of a token step, PerSequence what each writing request adds.
	Step        time.Duration
	PerSequence time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second.
	ReadPerSecond float64
	// Stride is the number of steps of a pass.
	Stride int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
	Models      []string
	// Warm is the time that loading a whole version takes.
	Warm   time.Duration
	Layers int
	// Pieces is the number of pieces of a version, PieceBytes the size of each.
	Pieces     int
	PieceBytes int
}

// Service is a set of backend servers, or the origin of weights.
type Service struct {
	Name        string
	HealthPath  string
	Connections int
	Engine      *Engine
	// Origin is the address of the origin of weights, empty for other services.
	Origin           string
	AvailabilityZone string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer.
type Workspace struct {
	Name string
	// Rank goes before the rank of the route, 0 first.
	Rank int
}

// Configuration is what operators have published.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service

	routes     map[string][]*Route
	keys       map[string]*Workspace
	workspaces int
}

// NewConfiguration returns a configuration without routes.
func NewConfiguration(version int64, limits Limits) *Configuration {
	return &Configuration{
		Version: version, Limits: limits, Services: map[string]*Service{},
		routes: map[string][]*Route{}, keys: map[string]*Workspace{},
	}
}

// AddRoute adds a route.
func (c *Configuration) AddRoute(route *Route) {
	routes := c.routes[route.Host]
	routes = append(routes, route)
	sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	c.routes[route.Host] = routes
}

// AddWorkspace adds a workspace and the keys that it holds.
func (c *Configuration) AddWorkspace(workspace *Workspace, keys []string) {
	c.workspaces++
	for _, key := range keys {
		c.keys[key] = workspace
	}
}

// Route returns the route of a path, that with the longest prefix, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// NeedsKey tells whether requests carry the key of a workspace.
func (c *Configuration) NeedsKey() bool { return c.workspaces > 0 }

// Workspace returns the workspace that holds the key, or nil.
func (c *Configuration) Workspace(key string) *Workspace { return c.keys[key] }

// Origin returns the service that weights are drawn from, or nil.
func (c *Configuration) Origin() *Service {
	for _, service := range c.Services {
		if service.Origin != "" {
			return service
		}
	}
	return nil
}
