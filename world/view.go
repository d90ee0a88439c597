package world

import (
	"maps"
	"time"
)

// Server is a backend server as it is registered.
type Server struct {
	// ID names an incarnation, mostly; Born tells apart those that share one.
	ID               string
	Born             int64
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	// Versions are the versions of the weights that it has loaded whole, by model.
	Versions map[string]int
}

// Same tells whether two registrations are of one incarnation.
func (s *Server) Same(other *Server) bool {
	return s.ID == other.ID && s.Born == other.Born && s.Address == other.Address && s.Service == other.Service
}

// Target is a weight version that is declared.
type Target struct {
	Version int
	// Seen is the boot time at which this daemon learned of it.
	Seen time.Duration
}

// View is all that a daemon believes of the platform. It is immutable.
type View struct {
	// Configuration is nil until one is known.
	Configuration *Configuration
	Servers       map[string]*Server
	Targets       map[string]Target
}

// WithConfiguration returns the view with the configuration, unless the view has
// the same or a newer one.
func (v *View) WithConfiguration(configuration *Configuration) *View {
	if v.Configuration != nil && v.Configuration.Version >= configuration.Version {
		return v
	}
	next := *v
	next.Configuration = configuration
	return &next
}

// WithTarget returns the view with the declared version of a model, unless the view
// has the same or a newer one.
func (v *View) WithTarget(model string, target Target) *View {
	if known, ok := v.Targets[model]; ok && known.Version >= target.Version {
		return v
	}
	next := *v
	next.Targets = maps.Clone(v.Targets)
	if next.Targets == nil {
		next.Targets = map[string]Target{}
	}
	next.Targets[model] = target
	return &next
}

// WithServers returns the view with other servers.
func (v *View) WithServers(servers map[string]*Server) *View {
	next := *v
	next.Servers = servers
	return &next
}
