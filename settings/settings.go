// Package settings reads the settings of an entry or an agent from a TOML file.
//
// The settings contain what differs between VMs, and what a process needs before it can read
// the configuration document, which all daemons share: its addresses, its availability zone,
// the address of the platform and the limits of its VM. An unknown key, the lack of a required
// key or an invalid value is an error that names the file, the line and the key.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Common holds the settings that entries and agents have in common.
type Common struct {
	// ID identifies the VM of the daemon in the fleet.
	ID               string `toml:"id" validate:"required,max=64"`
	Region           string `toml:"region" validate:"required"`
	AvailabilityZone string `toml:"availability-zone" validate:"required"`
	// Address is the IP and port to which other processes send requests for this one.
	Address string `toml:"address" validate:"required,hostname_port"`
	// ListenAddress is the address that the process listens on for requests if that is not
	// Address, for example behind network address translation.
	ListenAddress string `toml:"listen" validate:"omitempty,hostname_port"`
	// SourceIP is the IP from which the process connects to other VMs. If it is empty,
	// the operating system chooses one.
	SourceIP string `toml:"source" validate:"omitempty,ip"`
	// PlatformAddress is the address of the platform's log, weight origin and VM list.
	PlatformAddress string `toml:"platform" validate:"required,hostname_port"`
	// EntryAddresses are the control addresses (see Entry) of the entries that the process
	// contacts first. It learns the others from these.
	EntryAddresses []string `toml:"entries" validate:"dive,hostname_port"`
	// BootstrapKey is the hex-encoded Ed25519 public key whose owner signs the first edit
	// of the configuration, before the configuration itself lists the keys of its owners.
	BootstrapKey string `toml:"bootstrap-key" validate:"required,hexadecimal,len=64"`
	LogLevel     string `toml:"log-level" validate:"omitempty,oneof=debug info warn error"`
	// TraceEndpoint is the address of an OTLP collector. If it is empty, no traces are
	// exported.
	TraceEndpoint string `toml:"trace-endpoint" validate:"omitempty,hostname_port"`
	// TLSCertificate, TLSKey and TLSAuthorities are the PEM files for mutual TLS between
	// the daemons of the project. Either all three or none must be set.
	TLSCertificate string `toml:"tls-certificate" validate:"required_with=TLSKey TLSAuthorities"`
	TLSKey         string `toml:"tls-key" validate:"required_with=TLSCertificate TLSAuthorities"`
	TLSAuthorities string `toml:"tls-authorities" validate:"required_with=TLSCertificate TLSKey"`
	// MaxBodyBytes is the maximum size of the body of a request, DefaultMaxBodyBytes if the
	// file doesn't set it.
	MaxBodyBytes int `toml:"body-limit" validate:"omitempty,min=1024,max=67108864"`
	// MemoryBytes is the memory of the process, for an agent without the cache for chunks. It bounds
	// the connections and the bodies of requests, and is DefaultMemoryBytes if the file doesn't set
	// it. 0 means that there is no limit.
	MemoryBytes int `toml:"memory-bytes" validate:"omitempty,min=67108864"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common
	// ControlAddress is the IP and port to which the other daemons of the project send
	// heartbeats and other messages for the entry.
	ControlAddress string `toml:"control" validate:"required,hostname_port"`
	// ControlListenAddress is the address that the process listens on for these messages,
	// if that is not ControlAddress.
	ControlListenAddress string `toml:"control-listen" validate:"omitempty,hostname_port"`
	// Capacity is the number of concurrent requests that this VM can handle. The entry
	// doesn't enforce it: callers are directed to the entries in proportion to their unused
	// capacity.
	Capacity int `toml:"capacity" validate:"omitempty,min=1"`
}

// Agent holds the settings of an agent. Exactly one of EngineAddress and Backend is set.
type Agent struct {
	Common
	// EngineAddress is the address of the model engine on this VM.
	EngineAddress string `toml:"engine" validate:"required_without=Backend,excluded_with=Backend,omitempty,hostname_port"`
	// Backend is the address of the plain service on this VM, that is, of an HTTP service
	// without a model engine. Service is its name in the configuration document.
	Backend string `toml:"backend" validate:"omitempty,hostname_port"`
	Service string `toml:"service" validate:"required_with=Backend"`
	// Slots is the number of requests that the engine or the plain service runs at the same
	// time. For an engine it applies until the engine reports its own number.
	Slots int `toml:"slots" validate:"omitempty,min=1"`
	// Models lists the models that this backend server may load. If it is empty, the
	// server may load all.
	Models []string `toml:"models"`
	// CacheBytes bounds the memory for the chunks of weights that the agent keeps, to load
	// them into the engine and to send them to other agents.
	CacheBytes int64 `toml:"cache-bytes" validate:"omitempty,min=1048576"`
	// TransferBytesPerSecond is the maximum rate at which this VM sends chunks to other
	// agents; 0 means unlimited.
	TransferBytesPerSecond int64 `toml:"transfer-bytes-per-second" validate:"min=0"`
	// RegionLinkBytesPerSecond is the maximum rate at which all VMs of this region together
	// may send weights over the link to another region; 0 means unlimited. The VMs that send
	// to other regions share the rate equally.
	RegionLinkBytesPerSecond int64 `toml:"region-link-bytes-per-second" validate:"min=0"`
	// QueueLimit is the maximum number of requests that wait at the agent for a slot of the
	// engine or service. Further ones are refused.
	QueueLimit int `toml:"queue-limit" validate:"omitempty,min=1"`
}

// Defaults of optional settings: sizes in bytes, the others in requests.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultMemoryBytes  = 512 << 20
	DefaultCapacity     = 4096
	DefaultSlots        = 8
	DefaultCacheBytes   = 128 << 20
	DefaultQueueLimit   = 512
)

// ReadEntry reads the settings of an entry from the file at the path.
func ReadEntry(path string) (Entry, error) {
	entry := Entry{
		Common:   Common{LogLevel: "info", MaxBodyBytes: DefaultMaxBodyBytes, MemoryBytes: DefaultMemoryBytes},
		Capacity: DefaultCapacity,
	}
	err := readFile(path, &entry)
	return entry, err
}

// ReadAgent reads the settings of an agent from the file at the path.
func ReadAgent(path string) (Agent, error) {
	agent := Agent{
		Common:     Common{LogLevel: "info", MaxBodyBytes: DefaultMaxBodyBytes, MemoryBytes: DefaultMemoryBytes},
		Slots:      DefaultSlots,
		CacheBytes: DefaultCacheBytes,
		QueueLimit: DefaultQueueLimit,
	}
	err := readFile(path, &agent)
	return agent, err
}

// readFile decodes the file into target, which already holds the defaults, and validates the
// result.
func readFile(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(path, err)
	}
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(tomlKey)
	if err := validate.Struct(target); err != nil {
		return validateError(path, string(text), err)
	}
	return nil
}

// decodeError adds the file, the line and the key to an error of the TOML decoder.
func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return errors.Errorf("%s:%d: %s: unknown key", path, line, strings.Join(first.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return errors.Errorf("%s:%d: %s: %s", path, line, strings.Join(decode.Key(), "."), decode.Error())
	}
	return errors.Wrap(err, path)
}

// validateError returns an error with one line for each invalid value, which names the file,
// the line and the key. text is the content of the file.
func validateError(path, text string, err error) error {
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, path)
	}
	messages := make([]string, 0, len(invalid))
	for _, field := range invalid {
		allowed := field.Tag()
		if field.Param() != "" {
			allowed += " " + field.Param()
		}
		messages = append(messages, fmt.Sprintf("%s:%d: %s: allowed is %s", path, lineOf(text, field.Field()), field.Field(), allowed))
	}
	return errors.New(strings.Join(messages, "\n"))
}

// lineOf returns the number of the first line that sets the key, counted from 1, or 1 if no
// line does. The index that the validator appends to the key of a list element is ignored.
func lineOf(text, key string) int {
	key, _, _ = strings.Cut(key, "[")
	number := 0
	for line := range strings.Lines(text) {
		number++
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return number
		}
	}
	return 1
}
