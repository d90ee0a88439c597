package catalog

import (
	"maps"
	"math"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
)

// Server is the registration of a backend server.
type Server struct {
	// ID usually identifies one incarnation, which is one run of the server's process.
	// Started, the Unix time in ms of the start, distinguishes incarnations that share an
	// ID.
	ID      string
	Started int64
	// Sequence increases with each registration of an incarnation.
	Sequence int64
	// Service is the name of the service that the server belongs to.
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that the server processes at the same time.
	Slots int
	// Draining is set when the server must get no new requests.
	Draining bool
	// ColdFor is how much longer the server stays cold from the time at which it wrote this
	// registration, 0 if it is not cold. ColdMalformed reports that the registration has another
	// value, outside the range.
	ColdFor       time.Duration
	ColdMalformed bool
	// Versions are the weight versions that the server has loaded completely, by model.
	Versions map[string]int
}

// Incarnation returns the identity of the server's incarnation.
func (s *Server) Incarnation() availability.Server {
	return availability.Server{ID: s.ID, Address: s.Address, Started: s.Started}
}

// IsSameIncarnation reports whether two registrations belong to one incarnation: they have
// the same ID, start, address and service.
func (s *Server) IsSameIncarnation(other *Server) bool {
	return s.ID == other.ID && s.Started == other.Started && s.Address == other.Address && s.Service == other.Service
}

// Precedes reports whether the registration was certainly written before another one of the
// same ID: by an earlier incarnation, or earlier by the same one.
func (s *Server) Precedes(other *Server) bool {
	if s.Started != other.Started {
		return s.Started != 0 && s.Started < other.Started
	}
	return s.IsSameIncarnation(other) && s.Sequence < other.Sequence
}

// DeclaredVersion is the weight version that operators declared for a model: from a fixed
// time after the declaration on, no request may begin on an older one.
type DeclaredVersion struct {
	Version int
	// DeclaredAt is the earliest boot time at which the version may have been declared, or
	// UnknownTime.
	DeclaredAt time.Duration
}

// UnknownTime is the boot time of what may have happened at any time, also before the VM was
// booted. Sums and differences with times of a running VM don't overflow.
const UnknownTime = time.Duration(math.MinInt64 / 2)

// View is all that a daemon knows of the platform. It is immutable.
type View struct {
	// Configuration is nil until the first one was read.
	Configuration *Configuration
	// Servers holds the registered backend servers by ID. After an outage of the registry
	// it holds, for a limited time, also servers whose registration was removed, because
	// they may only have been unable to renew it.
	Servers map[string]*Server
	// DeclaredVersions holds the newest declared weight version of each model.
	DeclaredVersions map[string]DeclaredVersion
	// EvacuatedZones holds the availability zones whose servers must get no further requests. All
	// its values are true.
	EvacuatedZones map[string]bool
}

// WithEvacuatedZones returns the view with the given zones evacuated or not, by name.
func (v *View) WithEvacuatedZones(changes map[string]bool) *View {
	zones := maps.Clone(v.EvacuatedZones)
	for zone, isEvacuated := range changes {
		switch {
		case !isEvacuated:
			delete(zones, zone)
		case zones == nil:
			zones = map[string]bool{zone: true}
		default:
			zones[zone] = true
		}
	}
	if maps.Equal(zones, v.EvacuatedZones) {
		return v
	}
	next := *v
	next.EvacuatedZones = zones
	return &next
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

// WithDeclaredVersion returns the view with the declared version of a model, unless the view
// has the same or a newer one.
func (v *View) WithDeclaredVersion(model string, declared DeclaredVersion) *View {
	if known, ok := v.DeclaredVersions[model]; ok && known.Version >= declared.Version {
		return v
	}
	next := *v
	next.DeclaredVersions = maps.Clone(v.DeclaredVersions)
	if next.DeclaredVersions == nil {
		next.DeclaredVersions = map[string]DeclaredVersion{}
	}
	next.DeclaredVersions[model] = declared
	return &next
}

// WithServers returns the view with the given set of servers.
func (v *View) WithServers(servers map[string]*Server) *View {
	next := *v
	next.Servers = servers
	return &next
}
