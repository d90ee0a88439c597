// Package catalog holds a daemon's view of the platform: the configuration that operators
// published, the registered backend servers, and the declared weight versions.
//
// A Configuration is immutable, so a request uses the same one from the choice of its
// route to its response. A View combines the newest state of all parts; a daemon replaces
// it as a whole.
package catalog

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// RequestKind says whether the requests of a route may be retried.
type RequestKind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe RequestKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events with increasing ids. They may run
	// more than once when the route is resumable.
	Stream
)

// WeightedService is a service of a route and the weight by which requests are split
// between the services of that route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route configures how requests for a host and a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Timeout is the time after the arrival of a request at which its deadline is, unless
	// the request sets a shorter one; 0 stands for the default of the ingress daemon.
	Timeout time.Duration
	// TargetLatency is the target for the time from the arrival of a request to its
	// response, or to the first event of the response. A request that meets the target
	// counts in full towards the service level, the measure of how well requests are
	// served. 0 means that Timeout is the target.
	TargetLatency time.Duration
	// TargetGap is the target for the longest pause between the events of a stream. A
	// stream that meets the target counts in full towards the service level.
	TargetGap time.Duration
	// Patience is the time without an event after which callers abandon a stream; 0 means
	// that they wait until the deadline.
	Patience time.Duration
	// Rank is the priority class of the requests; 0 is the most urgent.
	Rank             int
	WeightedServices []WeightedService
	// MaxAttempts limits the attempts of a request in which a backend server may have run
	// it. An attempt in which it certainly did not run does not count.
	MaxAttempts int
	// Public is set when requests of the route need no API key.
	Public bool
	// ToModelEngine is set for requests to model engines.
	ToModelEngine bool
	// Resumable is set when streams of the route may continue on another backend server.
	Resumable bool
	// AllowedRegions are the regions in which requests of the route may be served.
	AllowedRegions RegionSet
}

// IsIdempotent reports whether requests of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ServiceFor selects the service for a request by the hash of the request's id, so that
// requests with the same id go to the same service. The shares of the services are in
// proportion to their weights; if the sum of the weights is not positive, the first service
// gets all requests. The result is empty when the route has no service.
func (r *Route) ServiceFor(id string) string {
	if len(r.WeightedServices) == 0 {
		return ""
	}
	total := 0
	for _, share := range r.WeightedServices {
		total += share.Weight
	}
	if total <= 0 {
		return r.WeightedServices[0].Service
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	point := int(hash.Sum32() % uint32(total))
	for _, share := range r.WeightedServices {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.WeightedServices[0].Service
}

// Engine describes the model engines of a service as the operators' configuration does. The
// scheduler of an entry reads the fields on slots, times and token counts where it counts engine
// time, see package workload; the loader reads Models and Pieces.
type Engine struct {
	// Slots is the maximum number of requests that an engine processes in one batch.
	Slots int
	// StepTime is the time of one decoding step, StepTimePerSequence the time that each
	// request which generates tokens adds to the step.
	StepTime            time.Duration
	StepTimePerSequence time.Duration
	// PromptTokensPerSecond is the number of prompt tokens that an engine processes in a
	// second.
	PromptTokensPerSecond float64
	// ContextTimePerThousand is the time that each request which generates tokens adds to a
	// step per 1,000 tokens of its context, PairTimePerMillion the time that reading a prompt
	// takes per million pairs of a token and an earlier token.
	ContextTimePerThousand time.Duration
	PairTimePerMillion     time.Duration
	// PromptTokensPerStep is the maximum number of prompt tokens that an engine reads in one
	// step, 0 without a limit.
	PromptTokensPerStep int
	// StepsPerPass is the number of decoding steps that an engine runs for a batch in one
	// pass.
	StepsPerPass int
	// MeanPromptTokens and MeanOutputTokens are the mean token counts of a request.
	MeanPromptTokens int
	MeanOutputTokens int
	// Models are the names of the models that the engines serve.
	Models []string
	// LoadTime is the time that loading a complete weight version takes.
	LoadTime time.Duration
	// Layers is the number of layers of a weight version.
	Layers int
	// Pieces is the number of pieces in which a weight version is distributed, PieceBytes
	// the size of each.
	Pieces     int
	PieceBytes int
}

// Service is a set of backend servers, or the origin that weights are downloaded from.
type Service struct {
	Name string
	// HealthPath and MaxConnections are taken over from the operators' configuration. No
	// daemon reads them.
	HealthPath     string
	MaxConnections int
	// Engine is nil when the backend servers are no model engines.
	Engine *Engine
	// OriginAddress is the address of the origin of weights, empty for other services.
	OriginAddress string
	// AvailabilityZone is the availability zone of the origin.
	AvailabilityZone string
	// ColdTime is how long a backend server is cold after its start, and ColdRate the rate in
	// requests per second that it can run meanwhile. A service with a ColdRate of 0 has no cold
	// servers. ColdMalformed reports that the configuration has other values, outside the range.
	ColdTime      time.Duration
	ColdRate      float64
	ColdMalformed bool
}

// Limits restrict what a caller may send. A size of 0 means no limit.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request's header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the limit for the time in which a header arrives, IdleTimeout that
	// between a response and the next request. With 0, the ingress daemon has limits of its own.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a tenant of the platform.
type Workspace struct {
	Name string
	// Rank is the priority class of the workspace; 0 is the most urgent. It goes before that of the
	// route where the service is shared fairly among the workspaces, and has no effect elsewhere.
	Rank int
	// Weight is the weight of the workspace in fair shares. It counts as 1 unless it is positive.
	// WeightMalformed reports that the configuration has another value, outside the range.
	Weight          float64
	WeightMalformed bool
	// AllowedRegions are the regions in which requests of the workspace may be served. A request
	// may be served only where both its route and its workspace allow it.
	AllowedRegions RegionSet
}

// Configuration is the configuration that operators published.
type Configuration struct {
	// Version is higher for a later configuration.
	Version int64
	Limits  Limits
	// Services holds the services by name.
	Services map[string]*Service

	// routes holds the routes of each host, those with longer prefixes first.
	routes map[string][]*Route
	// keys holds the workspace of each API key.
	keys map[string]*Workspace
	// workspaces is the number of workspaces, and weights holds their weights by name.
	workspaces int
	weights    map[string]float64
	// workspaceRanks holds the distinct ranks of the workspaces in ascending order, and routeRanks is
	// the number of ranks that routes may have, from 0 to the highest one.
	workspaceRanks []int
	// malformedWeights holds the names of the workspaces with a malformed weight.
	malformedWeights []string
	routeRanks       int
	// namedRegions are the regions in the lists of all routes and workspaces.
	namedRegions RegionSet
}

// NewConfiguration returns a configuration without routes.
func NewConfiguration(version int64, limits Limits) *Configuration {
	return &Configuration{
		Version: version, Limits: limits, Services: map[string]*Service{},
		routes: map[string][]*Route{}, keys: map[string]*Workspace{}, namedRegions: RegionSet{},
		weights: map[string]float64{}, routeRanks: 1,
	}
}

// AddRoute adds a route. The routes of a host are matched by the longest prefix.
func (c *Configuration) AddRoute(route *Route) {
	routes := c.routes[route.Host]
	routes = append(routes, route)
	sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	c.routes[route.Host] = routes
	c.routeRanks = min(max(c.routeRanks, route.Rank+1), maxRouteRanks)
	maps.Copy(c.namedRegions, route.AllowedRegions)
}

// AddWorkspace adds a workspace and its API keys.
func (c *Configuration) AddWorkspace(workspace *Workspace, keys []string) {
	c.workspaces++
	c.weights[workspace.Name] = workspace.Weight
	if workspace.WeightMalformed {
		c.malformedWeights = append(c.malformedWeights, workspace.Name)
	}
	if position, known := slices.BinarySearch(c.workspaceRanks, workspace.Rank); !known {
		c.workspaceRanks = slices.Insert(c.workspaceRanks, position, workspace.Rank)
	}
	maps.Copy(c.namedRegions, workspace.AllowedRegions)
	for _, key := range keys {
		c.keys[key] = workspace
	}
}

// Route returns the route of the host with the longest prefix that the path begins with,
// or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// NeedsKey reports whether requests must carry the API key of a workspace, except on public
// routes. It is false while there are no workspaces.
func (c *Configuration) NeedsKey() bool { return c.workspaces > 0 }

// maxRouteRanks bounds the number of ranks of routes that are told apart between workspaces of
// different ranks.
const maxRouteRanks = 100

// RankOf returns the rank of a request of the route and the workspace, in which the rank of the
// workspace goes before that of the route. If all workspaces have the same rank, or the workspace is
// nil, it is that of the route.
func (c *Configuration) RankOf(route *Route, workspace *Workspace) int {
	if workspace == nil {
		return route.Rank
	}
	index, _ := slices.BinarySearch(c.workspaceRanks, workspace.Rank)
	return index*c.routeRanks + route.Rank
}

// RouteRanks returns the number of ranks of routes, from 0 to the highest one. Ranks of RankOf from
// there on are those of workspaces below the most urgent ones.
func (c *Configuration) RouteRanks() int { return c.routeRanks }

// Weights returns the weights of all workspaces by name, which must not be changed.
func (c *Configuration) Weights() map[string]float64 { return c.weights }

// HasWeights reports whether the configuration sets the weight of any workspace.
func (c *Configuration) HasWeights() bool {
	for _, weight := range c.weights {
		if weight > 0 {
			return true
		}
	}
	return false
}

// MalformedWeights returns the names of the workspaces whose weight is malformed.
func (c *Configuration) MalformedWeights() []string { return c.malformedWeights }

// NamedRegions returns the regions in the lists of allowed regions of all routes and workspaces. It
// is empty if requests may be served everywhere.
func (c *Configuration) NamedRegions() RegionSet { return c.namedRegions }

// Workspace returns the workspace that the API key belongs to, or nil.
func (c *Configuration) Workspace(key string) *Workspace { return c.keys[key] }

// Origin returns the service with the origin that weights are downloaded from, or nil. If
// there are several, it returns any of them, not always the same one.
func (c *Configuration) Origin() *Service {
	for _, service := range c.Services {
		if service.OriginAddress != "" {
			return service
		}
	}
	return nil
}
