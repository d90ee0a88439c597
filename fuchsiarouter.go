// Package fuchsiarouter defines the interfaces to the platform and the model engine, which
// differ between deployments.
//
// Callers send requests to entries, and an entry dispatches each request to a backend
// server: a VM with a model engine or another service. A daemon on that VM fetches the
// model versions that the engine loads, from other VMs or from the weight origin.
// Operators publish the configuration to a log or registry of the platform, which is the
// infrastructure on which the system runs. The entries read it there and pass it on.
//
// There are two pairs of daemons, for two kinds of platforms. In packages entry and agent,
// every request passes through the agent on the VM of the backend server. In packages
// ingress and loader, the entry sends requests directly to the backend server, and the
// loader only distributes versions. Both pairs use the interfaces of this package: to the
// platform's log, registry, weight origin and VM list, and to the engine. The
// implementations are in the packages below; tests replace them by fakes.
//
// The package also contains the plain structs that are passed through these interfaces
// and between the daemons. Three terms recur in them:
//   - An incarnation is one run of a process or an engine, identified by a number that is
//     higher after each restart: the Unix time of its start in milliseconds.
//   - The fingerprint of a request is a digest of its content. It is the same if the caller
//     sends the request again.
//   - An adapter is a small set of weights that is loaded on top of one version of a model.
package fuchsiarouter

import (
	"context"
	"io"
	"strings"
	"time"
)

// Record is one record of a stream of the platform's log.
type Record struct {
	// Offset is the position of the record in the stream.
	Offset int64
	// Time is when the log appended the record, by the clock of the log.
	Time time.Time
	Data []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	// OldestOffset is the oldest offset that the stream retains.
	OldestOffset int64
	// NextOffset is the offset after the newest record of the stream.
	NextOffset int64
	Records    []Record
}

// Log is the platform's append-only log service.
//
// An error of Append doesn't mean that the record was not appended: the response may be
// lost after the append took effect. Therefore a record carries a nonce in its data, by
// which the caller can find it in the stream.
type Log interface {
	// Append appends data as a record to the stream and returns the offset of the record.
	// nonce is the nonce that data contains.
	Append(ctx context.Context, stream, nonce string, data []byte) (int64, error)
	// Read returns up to limit records, starting at the offset from. If there are none,
	// it waits for the next one, but no longer than wait. If the log has removed the record
	// at this offset because of its age, Read returns an *ExpiredError.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// ExpiredError reports a read below the oldest retained offset of a stream or topic. The
// offsets have the same meaning as in Batch. NextOffset is 0 after a read of a topic.
type ExpiredError struct {
	OldestOffset int64
	NextOffset   int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "log: records before the oldest retained offset have expired"
}

// Origin is the store from which model weights are downloaded. Its link is shared and
// slow, so callers request each chunk as few times as possible.
type Origin interface {
	// Manifest returns the bytes of the manifest of a model version or an adapter, which
	// lists the digests of its chunks. path is its path at the origin according to the
	// configuration.
	Manifest(ctx context.Context, path string) ([]byte, error)
	// Chunk returns the bytes of the chunk with the digest. The caller must compare them
	// with the digest.
	Chunk(ctx context.Context, digest string) ([]byte, error)
}

// DaemonKind is the kind of a daemon, and of the VM that it runs on.
type DaemonKind string

// The kinds of daemons.
const (
	KindEntry DaemonKind = "entry"
	KindAgent DaemonKind = "agent"
)

// VMState says whether a VM accepts new work.
type VMState string

// The states of a VM.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is one row of the platform's VM list. The list lags behind the actual state: a new VM
// may be missing, and one that has ended may still be listed.
type VM struct {
	ID               string     `json:"id"`
	Kind             DaemonKind `json:"kind"`
	Address          string     `json:"address"`
	ControlAddress   string     `json:"control"`
	Region           string     `json:"region"`
	AvailabilityZone string     `json:"availability-zone"`
	State            VMState    `json:"state"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs reads the list.
	VMs(ctx context.Context) ([]VM, error)
}

// VersionState is the progress of loading a model version on a backend server.
type VersionState string

// The states of a model version on a backend server.
const (
	// VersionFetching means that chunks are still missing on the VM.
	VersionFetching VersionState = "fetching"
	// VersionVerified means that the VM has all chunks, but the engine has not loaded them.
	VersionVerified VersionState = "verified"
	// VersionReady means that the engine has loaded the version and can run requests.
	VersionReady VersionState = "ready"
	// VersionFailed means that fetching or loading has failed.
	VersionFailed VersionState = "failed"
)

// Version is a model version, or an adapter on one, on a backend server.
type Version struct {
	Model string `json:"model"`
	// Digest is the identity as returned by JoinIdentity, made of the hex digests of the
	// manifests.
	Digest string       `json:"digest"`
	State  VersionState `json:"state"`
	// VerifiedChunks is the number of chunks that the VM has and has verified,
	// TotalChunks the number in the manifest.
	VerifiedChunks int `json:"chunks"`
	TotalChunks    int `json:"of"`
	// Reason says why a version is in the state VersionFailed.
	Reason string `json:"reason,omitempty"`
}

// JoinIdentity returns the identity of the weights that a request runs on: those of a
// version alone if adapter is empty, or those of an adapter on the version that it was
// made for. Both arguments are digests.
func JoinIdentity(version, adapter string) string {
	if adapter == "" {
		return version
	}
	return version + "+" + adapter
}

// SplitIdentity returns the digests that JoinIdentity joined. The adapter is empty for a
// version alone.
func SplitIdentity(identity string) (version, adapter string) {
	version, adapter, _ = strings.Cut(identity, "+")
	return version, adapter
}

// ContentDigest returns the digest of the manifest whose chunks have to be fetched for an
// identity: that of the adapter if the identity has one, otherwise that of the version.
func ContentDigest(identity string) string {
	version, adapter := SplitIdentity(identity)
	if adapter == "" {
		return version
	}
	return adapter
}

// Role says which phases of a request an engine runs: the prefill, which processes the
// prompt, the decoding, which generates the tokens, or both.
type Role string

// The roles. Only an engine with RoleBoth runs whole requests; no requests are sent to the
// others.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Load is the load of a backend server as its agent sees it, in requests. For an entry it
// holds only Running, its requests in progress, and Slots, its capacity.
type Load struct {
	Running int `json:"running"`
	// Slots is the number of requests that can run at the same time. It is 0 while the
	// engine is down.
	Slots int `json:"slots"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// NonPreemptible is the number of running requests that urgent work cannot preempt, plus
	// that of queued requests whose rank is not preemptible.
	NonPreemptible int `json:"firm"`
	// ExpectedWait is the time that a new request with the normal rank is expected to
	// wait for a slot. A rank is a priority class of requests, see package rank.
	ExpectedWait time.Duration `json:"wait-ns"`
}

// Strike records that a backend server crashed while it ran the request with this
// fingerprint.
type Strike struct {
	Fingerprint string `json:"fingerprint"`
	// CrashCount is the number of crashes, including this one, that the reporting daemon
	// knows of for the fingerprint. Each of them has its own Strike.
	CrashCount int `json:"count"`
	// CrashID identifies this crash, so that reports of the same crash by several daemons
	// count once.
	CrashID string `json:"crash"`
	// AtMilliseconds is the Unix time of the crash.
	AtMilliseconds int64 `json:"at-ms"`
}

// PartReport tells other daemons which parts of prompts may crash backend servers, see
// quarantine.Parts.
type PartReport struct {
	_       struct{} `cbor:",toarray"`
	Crashes []PartCrash
	Cleared []ClearedPart
}

// IsEmpty reports whether there is nothing to tell.
func (r PartReport) IsEmpty() bool { return len(r.Crashes) == 0 && len(r.Cleared) == 0 }

// PartCrash records that a backend server crashed, with the parts of prompts that may be the
// cause.
type PartCrash struct {
	_ struct{} `cbor:",toarray"`
	// CrashID identifies the crash as in a Strike.
	CrashID string
	// AgeMilliseconds is the time since the crash.
	AgeMilliseconds int64
	// Positions is the index in a prompt by the ID of the part.
	Positions map[string]int
	// SoundRequests is the number of sound answers that were seen since the crash, up to the
	// number that is needed to refuse a part.
	SoundRequests int
}

// ClearedPart records that a part which was taken for the cause of a crash is sound.
type ClearedPart struct {
	_ struct{} `cbor:",toarray"`
	// Part is the ID of the part.
	Part string
	// AgeMilliseconds is the time since a sound answer to a request with the part.
	AgeMilliseconds int64
}

// Member is the description of a daemon that it sends in its heartbeats.
type Member struct {
	ID          string     `json:"id"`
	Kind        DaemonKind `json:"kind"`
	Incarnation int64      `json:"incarnation"`
	// Address is where the daemon receives requests, ControlAddress where an entry
	// receives the messages of other daemons.
	Address          string  `json:"address"`
	ControlAddress   string  `json:"control,omitempty"`
	Region           string  `json:"region"`
	AvailabilityZone string  `json:"availability-zone"`
	State            VMState `json:"state"`
	// Model is the only model that the settings of an agent allow. It is empty if they
	// allow several.
	Model string `json:"model,omitempty"`
	// Service is the name of the plain service next to an agent. It is empty if the agent
	// has a model engine.
	Service string `json:"service,omitempty"`
	// Role is the role of the engine, or the one that it is changing to. It is empty if
	// the engine runs whole requests.
	Role     Role      `json:"role,omitempty"`
	Load     Load      `json:"load"`
	Versions []Version `json:"versions,omitempty"`
	// Revisions holds the revision of each section of the configuration that the daemon
	// has, by name of the section.
	Revisions map[string]int64 `json:"revisions,omitempty"`
	// Strikes are the recent crashes that the daemon knows of.
	Strikes []Strike `json:"strikes,omitempty"`
	// Serial increases within an incarnation whenever more than the load has changed, so
	// that a delayed report by one entry doesn't replace a newer one by another.
	Serial int64 `json:"serial,omitempty"`
	// WorkspaceDemands are, for an entry, the requests per second of each workspace at
	// that entry, whether admitted or not.
	WorkspaceDemands map[string]float64 `json:"demands,omitempty"`
	// SlotDemand is, for an entry, its demand in the time slot that ended last. It is
	// reported during the first tenth of the following slot, and nil afterwards or if the
	// configuration declares no peak (see PeakShift).
	SlotDemand *SlotDemand `json:"slot-demand,omitempty"`
}

// SlotDemand is the number of requests for each model that an entry received in a time
// slot that has ended.
type SlotDemand struct {
	// Slot is the number of the slot as returned by SlotOf of package forecast, which
	// divides the time since the Unix epoch into slots of ten minutes.
	Slot   int64          `json:"slot"`
	Counts map[string]int `json:"counts,omitempty"`
}

// PeakShift is how much earlier a peak is expected to begin, and how much later to end,
// than declared. A peak is a daily period of high demand for a model, for which the
// configuration declares more replicas; agents load these earlier and keep them longer
// according to the shift. Model, From and Until are those of the declaration, the last two
// as UTC times of day such as "18:30".
type PeakShift struct {
	Model          string `json:"model"`
	From           string `json:"from"`
	Until          string `json:"until"`
	EarlierSeconds int    `json:"earlier-s,omitempty"`
	LaterSeconds   int    `json:"later-s,omitempty"`
}

// EngineStatus is the status that an engine reports. It lags behind the actual state.
type EngineStatus struct {
	Incarnation int64
	// FencingToken is the highest fencing token of the orders that the engine has
	// received, see Engine.
	FencingToken int64
	// Slots, Running and Queued are counted in requests as in Load, but by the engine.
	Slots   int
	Running int
	Queued  int
	// Role is empty if the engine doesn't report it.
	Role     Role
	Versions []Version
}

// GenerateRequest is a request to an engine.
type GenerateRequest struct {
	RequestID string
	// Model and Digest, the identity as returned by JoinIdentity, determine the exact
	// version, or adapter on a version, that must run the request.
	Model  string
	Digest string
	// Priority ranges from 0 for the most urgent work to 9 for the least urgent.
	Priority int
	// ResumeOffset is the number of tokens that the caller already has. The response
	// begins after them.
	ResumeOffset int
	// Body is the chat-completions request as the caller sent it.
	Body []byte
	// Traceparent is the W3C traceparent header for the engine.
	Traceparent string
}

// Response is the response of an engine, a service or an agent. Body must be closed;
// closing it before its end cancels the work.
type Response struct {
	Status      int
	ContentType string
	// Header contains only the headers of this project, whose names begin with
	// "Fuchsiarouter-", and Retry-After.
	Header map[string]string
	Body   io.ReadCloser
}

// Engine is the model engine next to an agent. Only that agent may load, unload or change
// anything on it. Each of these orders carries a fencing token that is higher after each
// restart of the agent. An engine that checks the tokens refuses an order with a lower
// token than it has received, because that order comes from an earlier process.
type Engine interface {
	// Status requests the status of the engine.
	Status(ctx context.Context) (EngineStatus, error)
	// Load loads a version or an adapter into the engine: it begins the load, sends every
	// chunk and commits. It returns the identity that the engine computed from the bytes
	// that it received.
	Load(ctx context.Context, order LoadOrder) (string, error)
	// Unload removes a version or an adapter from the engine. digest is its identity, and
	// fence the fencing token of the order.
	Unload(ctx context.Context, model, digest string, fence int64) error
	// ChangeRole changes the role of the engine, which may abort the requests in
	// progress. fence is the fencing token of the order.
	ChangeRole(ctx context.Context, role Role, fence int64) error
	// Generate sends a request to the engine and returns when the head of the response
	// has arrived.
	Generate(ctx context.Context, generation GenerateRequest) (Response, error)
}

// LoadOrder is an order to load a version, or an adapter on a version that is already
// loaded.
type LoadOrder struct {
	Model string
	// Digest is the identity of the version or of the adapter on its version, see
	// JoinIdentity.
	Digest string
	// FencingToken is explained at Engine.
	FencingToken int64
	// Manifest is the encoded manifest of what is loaded: that of the adapter alone if
	// the order is for an adapter. ChunkCount is the number of chunks in it.
	Manifest   []byte
	ChunkCount int
	// ReadChunk returns the verified bytes of a chunk. index is its position in the
	// manifest, from 0.
	ReadChunk func(ctx context.Context, index int) ([]byte, error)
}
