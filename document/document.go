// Package document parses and validates the operators' configuration document.
//
// The document consists of sections. Each section is one TOML text that has its own
// owners and is published separately. A Document is the parsed form of all sections:
// plain data that the packages which make decisions read. Parse is strict, so that a
// misspelled key is an error and does not silently select a default. Validate checks
// the values within and across sections.
//
// Two terms occur throughout. The origin is the store from which VMs download the weights
// of models and adapters. A rank is a priority class of requests.
package document

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Section is the name of a section.
type Section string

// The sections. The types of the fields of Document describe them.
const (
	SectionFleet      Section = "fleet"
	SectionOwners     Section = "owners"
	SectionModels     Section = "models"
	SectionRanks      Section = "ranks"
	SectionWorkspaces Section = "workspaces"
	SectionServices   Section = "services"
	SectionPeaks      Section = "peaks"
	SectionServers    Section = "servers"
)

// Sections returns every section in the order in which the documentation lists them.
func Sections() []Section {
	return []Section{
		SectionFleet, SectionOwners, SectionModels, SectionRanks,
		SectionWorkspaces, SectionServices, SectionPeaks, SectionServers,
	}
}

// Schema is the version of the document format that this package reads.
const Schema = 1

// Document is the parsed form of all sections. A section that was never published has
// its zero value, with schema 0.
type Document struct {
	Fleet      Fleet
	Owners     Owners
	Models     Models
	Ranks      Ranks
	Workspaces Workspaces
	Services   Services
	Peaks      Peaks
	Servers    Servers
}

// Fleet describes the regions and the settings that apply to every VM.
type Fleet struct {
	Schema  int      `toml:"schema"`
	Regions []Region `toml:"regions"`
	// StoreRegion is the name of the region in which the origin is.
	StoreRegion string `toml:"store-region"`
	// WindowSeconds is the operators' target for the time within which a new weight
	// version is on its VMs. No daemon enforces it.
	WindowSeconds int `toml:"window-s"`
	// DrainDeadlineSeconds limits how long a draining VM waits for requests in
	// progress.
	DrainDeadlineSeconds int `toml:"drain-deadline-s"`
	// ClaimWindowSeconds is the age up to which an idempotency key is accepted. It
	// must be shorter than the retention of the log.
	ClaimWindowSeconds int `toml:"claim-window-s"`
}

// Defaults of the keys of the fleet section that are missing in its text.
const (
	DefaultWindowSeconds        = 300
	DefaultDrainDeadlineSeconds = 60
	// DefaultClaimWindowSeconds is one day, so that a caller that was offline
	// overnight still learns the outcome of its call.
	DefaultClaimWindowSeconds = 24 * 60 * 60
)

// DrainDeadline returns how long a draining VM waits for requests in progress.
func (f Fleet) DrainDeadline() time.Duration {
	return time.Duration(f.DrainDeadlineSeconds) * time.Second
}

// ClaimWindow returns the age up to which an idempotency key is accepted.
func (f Fleet) ClaimWindow() time.Duration {
	return time.Duration(f.ClaimWindowSeconds) * time.Second
}

// Region is a region and its availability zones.
type Region struct {
	Name              string   `toml:"name"`
	AvailabilityZones []string `toml:"availability-zones"`
}

// Owners lists who may publish which section.
type Owners struct {
	Schema int     `toml:"schema"`
	Owners []Owner `toml:"owners"`
}

// Owner is a team with its public keys and the sections that edits signed by these keys
// may change.
type Owner struct {
	Team     string    `toml:"team"`
	Sections []Section `toml:"sections"`
	// Keys are Ed25519 public keys in hex.
	Keys []string `toml:"keys"`
}

// Models lists the models and their versions.
type Models struct {
	Schema int     `toml:"schema"`
	Models []Model `toml:"models"`
}

// Model is a model with its versions, one of which serves requests.
type Model struct {
	Name string `toml:"name"`
	// Live is the name of the version that serves requests.
	Live string `toml:"live"`
	// Replicas is the number of backend servers that run the model outside its peaks.
	Replicas int            `toml:"replicas"`
	Versions []ModelVersion `toml:"versions"`
	Adapters []ModelAdapter `toml:"adapters"`
	// Urgent is set when the model is distributed to its VMs before the others.
	Urgent bool `toml:"urgent"`
}

// ModelVersion is a version of a model at the origin.
type ModelVersion struct {
	Name string `toml:"name"`
	// Path is the path of the version at the origin, as in "rounds/v7".
	Path string `toml:"path"`
	// Digest is the hex blake3 digest of the version's manifest, which lists its chunks.
	Digest string `toml:"digest"`
}

// ModelAdapter is an adapter for one version of a model. An adapter that fits several
// versions is listed for each of them under the same name.
type ModelAdapter struct {
	Name string `toml:"name"`
	// Version is the name of the version that the adapter fits.
	Version string `toml:"version"`
	// Path is the path of the adapter at the origin.
	Path string `toml:"path"`
	// Digest is the hex blake3 digest of the adapter's manifest.
	Digest string `toml:"digest"`
}

// FindAdapter returns the adapter with the name for the version with the given name.
func (m Model) FindAdapter(name, version string) (ModelAdapter, bool) {
	for _, adapter := range m.Adapters {
		if adapter.Name == name && adapter.Version == version {
			return adapter, true
		}
	}
	return ModelAdapter{}, false
}

// HasAdapter reports whether any version has an adapter with the name.
func (m Model) HasAdapter(name string) bool {
	for _, adapter := range m.Adapters {
		if adapter.Name == name {
			return true
		}
	}
	return false
}

// LiveVersion returns the version that serves requests, and false when Live does not
// name one of the versions.
func (m Model) LiveVersion() (ModelVersion, bool) {
	for _, version := range m.Versions {
		if version.Name == m.Live {
			return version, true
		}
	}
	return ModelVersion{}, false
}

// FindModel returns the model with the name.
func (m Models) FindModel(name string) (Model, bool) {
	for _, model := range m.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// RankName is the name of a rank, which is a priority class of requests.
type RankName string

// The ranks, most urgent first.
const (
	Urgent    RankName = "urgent"
	Normal    RankName = "normal"
	Overnight RankName = "overnight"
)

// RankNames returns the ranks, most urgent first.
func RankNames() []RankName { return []RankName{Urgent, Normal, Overnight} }

// Ranks lists the three ranks.
type Ranks struct {
	Schema int    `toml:"schema"`
	Ranks  []Rank `toml:"ranks"`
}

// Rank says how requests of a rank are served when they compete with those of other
// ranks.
type Rank struct {
	Name RankName `toml:"name"`
	// Floor is the minimum share, 0 to 1, of the work that a backend server starts,
	// measured in tokens. The rank gets this share while it has requests waiting there,
	// whatever the load of the other ranks is.
	Floor float64 `toml:"floor"`
	// FirstTokenMilliseconds is the target for the 95th percentile of the time to the
	// first token. No daemon enforces it.
	FirstTokenMilliseconds int `toml:"first-token-ms"`
	// Preemptible is set when streams of the rank that may run again can be cancelled and
	// resumed later, either to free a slot for urgent requests or because a request that
	// must run alone waits until no other is in progress. A stream that was started to
	// give the rank its Floor is not cancelled, nor is one of the most urgent rank.
	Preemptible bool `toml:"preemptible"`
}

// Workspaces lists the tenants, each with the hash of its token, its ranks, its share and its
// limits.
type Workspaces struct {
	Schema     int         `toml:"schema"`
	Workspaces []Workspace `toml:"workspaces"`
}

// The limits of a workspace's weight, unless it is 0.
const (
	MinWeight = 0.001
	MaxWeight = 1000
)

// Workspace is a tenant with its share and its limits. RequestsPerSecond, InProgress and
// TokensPerSecond limit all entries together, and 0 means no limit.
type Workspace struct {
	Name string `toml:"name"`
	// TokenHash is the hex SHA-256 of the bearer token.
	TokenHash string `toml:"token-hash"`
	// Weight is the share of the slots that the workspace gets within a rank, relative
	// to the other workspaces; 0 counts as 1.
	Weight float64 `toml:"weight"`
	// Ranks are the ranks that requests of the workspace may ask for.
	Ranks []RankName `toml:"ranks"`
	// DefaultRank is the rank of requests that ask for none and whose service has none.
	// When it is empty, they have the rank Normal.
	DefaultRank       RankName `toml:"default-rank"`
	RequestsPerSecond float64  `toml:"requests-per-second"`
	// Burst is the number of requests that may arrive at once, above the limit of
	// requests per second. Without that limit it has no effect. It is divided between the
	// entries, and each entry admits at least one request at once, also when Burst is 0.
	Burst int `toml:"burst"`
	// InProgress limits the concurrent requests.
	InProgress int `toml:"in-progress"`
	// TokensPerSecond limits the cost of the admitted requests, in tokens per second.
	TokensPerSecond float64 `toml:"tokens-per-second"`
}

// Services lists the services that are not model engines.
type Services struct {
	Schema   int       `toml:"schema"`
	Services []Service `toml:"services"`
}

// Service is a service that is not a model engine. Calls are non-idempotent unless
// their method is GET or HEAD or a rule declares them idempotent.
type Service struct {
	Name       string           `toml:"name"`
	Idempotent []IdempotentRule `toml:"idempotent"`
	// Rank is the rank of calls that ask for none. When it is empty, the default rank of
	// the workspace applies.
	Rank RankName `toml:"rank"`
}

// IdempotentRule declares that the calls with this method and path prefix are idempotent,
// so that they may be retried.
type IdempotentRule struct {
	Method string `toml:"method"`
	// Prefix is a prefix of the path at the service, beginning with "/".
	Prefix string `toml:"prefix"`
}

// FindService returns the service with the name.
func (s Services) FindService(name string) (Service, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Peaks declares how many replicas models need at which time of the day.
type Peaks struct {
	Schema int    `toml:"schema"`
	Peaks  []Peak `toml:"peaks"`
}

// Peak is a daily interval in which a model needs more replicas.
type Peak struct {
	Model string `toml:"model"`
	// From and Until are times of the day in UTC, as in 07:30. An interval whose Until
	// is earlier than From ends on the next day.
	From  string `toml:"from"`
	Until string `toml:"until"`
	// Replicas is the number of backend servers that run the model in the interval. It
	// has no effect when it is lower than the model's Replicas.
	Replicas int `toml:"replicas"`
}

// Servers lists the backend servers whose properties are not the default ones.
type Servers struct {
	Schema  int      `toml:"schema"`
	Servers []Server `toml:"servers"`
}

// Server holds the properties of one backend server. The zero value of each property is
// that of the backend servers that are not listed.
type Server struct {
	ID string `toml:"id"`
	// IgnoresFence is set when the engine does not check the fencing token of orders to
	// load, unload or change its role. No daemon reads it.
	IgnoresFence bool `toml:"ignores-fence"`
	// Role is the phase of a request that the engine runs; empty means both.
	Role fuchsiarouter.Role `toml:"role"`
}

// RoleOf returns the role of the backend server with the ID, RoleBoth for one that is not
// listed or has no role.
func (s Servers) RoleOf(id string) fuchsiarouter.Role {
	for _, server := range s.Servers {
		if server.ID == id && server.Role != "" {
			return server.Role
		}
	}
	return fuchsiarouter.RoleBoth
}

// resetSection resets a section to its defaults and returns a pointer to its struct in
// the document.
func (d *Document) resetSection(section Section) (any, error) {
	switch section {
	case SectionFleet:
		d.Fleet = Fleet{
			WindowSeconds:        DefaultWindowSeconds,
			DrainDeadlineSeconds: DefaultDrainDeadlineSeconds,
			ClaimWindowSeconds:   DefaultClaimWindowSeconds,
		}
		return &d.Fleet, nil
	case SectionOwners:
		d.Owners = Owners{}
		return &d.Owners, nil
	case SectionModels:
		d.Models = Models{}
		return &d.Models, nil
	case SectionRanks:
		d.Ranks = Ranks{}
		return &d.Ranks, nil
	case SectionWorkspaces:
		d.Workspaces = Workspaces{}
		return &d.Workspaces, nil
	case SectionServices:
		d.Services = Services{}
		return &d.Services, nil
	case SectionPeaks:
		d.Peaks = Peaks{}
		return &d.Peaks, nil
	case SectionServers:
		d.Servers = Servers{}
		return &d.Servers, nil
	default:
		return nil, errors.Errorf("unknown section %q", section)
	}
}
