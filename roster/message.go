package roster

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/availability"
)

// Message is a datagram between daemons. One of its fields is set.
type Message struct {
	// Report is the state of an entry, sent to the relays of its availability zone.
	Report *Report `cbor:"1,keyasint,omitempty"`
	// Digest is what a relay knows, sent to the entries of its zone and to the relays of
	// other zones.
	Digest *Digest `cbor:"2,keyasint,omitempty"`
	// Engine is the state of a model engine, sent by the loader on the same VM.
	Engine *EngineStatus `cbor:"3,keyasint,omitempty"`
	// LeavingEngine is an engine that has told the loader on its VM that it takes no further
	// requests. The loader doesn't know its ID.
	LeavingEngine *availability.Server `cbor:"4,keyasint,omitempty"`
	// EngineNumber is the number of Engine. Encode sets it.
	EngineNumber fuchsiarouter.StateNumber `cbor:"5,keyasint,omitempty"`
}

// Report is the state that an entry sends to the relays of its availability zone.
type Report struct {
	// Entry describes the sender.
	Entry Entry `cbor:"1,keyasint"`
	// Members is the fingerprint of all live entries that the sender knows, and Wanted the
	// zones whose entries differ from those of the last digest.
	Members uint64   `cbor:"2,keyasint,omitempty"`
	Wanted  []string `cbor:"9,keyasint,omitempty"`
	// Load holds the number of requests that the sender has in flight at each backend server,
	// by the ServerKey of the server.
	Load map[uint32]int `cbor:"3,keyasint,omitempty"`
	// Strikes lists recent crashes of backend servers that the sender knows of, with the
	// requests that were in progress there.
	Strikes []fuchsiarouter.Strike `cbor:"4,keyasint,omitempty"`
	// Stalled lists the IDs of backend servers that make no progress on responses which
	// they have started.
	Stalled []string `cbor:"5,keyasint,omitempty"`
	// Engines lists the states that loaders have recently sent to the sender.
	Engines []EngineStatus `cbor:"6,keyasint,omitempty"`
	// Urgent makes the relay pass the content on at once.
	Urgent bool `cbor:"7,keyasint,omitempty"`
	// WantLoad is set when the receiver is the first relay of the zone for the sender, which
	// uses the loads of that one only.
	WantLoad bool `cbor:"8,keyasint,omitempty"`
	// Parts tells which parts of prompts may crash backend servers.
	Parts *fuchsiarouter.PartReport `cbor:"10,keyasint,omitempty"`
	// Leaving lists the backend servers that have said that they leave.
	Leaving []availability.Server `cbor:"11,keyasint,omitempty"`
	// EngineNumbers holds the numbers of Engines, in the same order. Encode sets it.
	EngineNumbers []fuchsiarouter.StateNumber `cbor:"12,keyasint,omitempty"`
	// Work is the work of the workspaces at the sender. It is nil unless that is measured.
	Work *Work `cbor:"13,keyasint,omitempty"`
}

// Digest is what a relay tells the entries of its zone, or the relays of other zones.
type Digest struct {
	// Sender is the address for daemons of the relay, Zone its availability zone.
	Sender string `cbor:"1,keyasint"`
	Zone   string `cbor:"2,keyasint"`
	// Secondary is set when the sender is not the first relay of its zone. Its loads are
	// then older than those that the first one sends.
	Secondary bool `cbor:"3,keyasint,omitempty"`
	// Members is the fingerprint of all live entries that the sender knows. It is not set in
	// a digest for another zone.
	Members uint64 `cbor:"13,keyasint,omitempty"`
	// Zones holds the live entries by availability zone. In an answer it is empty if Members
	// is the same as in the report, and otherwise has all zones with live entries. A digest
	// for another zone has the sender's own zone.
	Zones []ZoneEntries `cbor:"4,keyasint,omitempty"`
	// Wanted holds the zones of which the sender, a relay of another zone, needs the list.
	Wanted []string `cbor:"14,keyasint,omitempty"`
	// Load holds, as in a Report, the requests in flight of the entries of the sender's zone,
	// without those of the entry that the digest is sent to. It is valid if HasLoad is set.
	HasLoad bool           `cbor:"12,keyasint,omitempty"`
	Load    map[uint32]int `cbor:"5,keyasint,omitempty"`
	// RemoteLoad holds the requests in flight of the entries of all other zones. It is valid
	// if HasRemoteLoad is set; if not, the last one that was received stays valid.
	HasRemoteLoad bool           `cbor:"6,keyasint,omitempty"`
	RemoteLoad    map[uint32]int `cbor:"7,keyasint,omitempty"`
	// Strikes, Stalled and Engines are as in a Report, from all entries.
	Strikes []fuchsiarouter.Strike `cbor:"8,keyasint,omitempty"`
	Stalled []string               `cbor:"9,keyasint,omitempty"`
	Engines []EngineStatus         `cbor:"10,keyasint,omitempty"`
	// Urgent makes the relay of another zone pass the content on at once.
	Urgent bool `cbor:"11,keyasint,omitempty"`
	// Parts and Leaving are as in a Report, from all entries.
	Parts   *fuchsiarouter.PartReport `cbor:"15,keyasint,omitempty"`
	Leaving []availability.Server     `cbor:"16,keyasint,omitempty"`
	// EngineNumbers is as in a Report.
	EngineNumbers []fuchsiarouter.StateNumber `cbor:"17,keyasint,omitempty"`
	// Work is the work of the workspaces at the entries of the sender's zone. In a digest for an entry
	// of that zone, it is the work at all entries except that one. It is nil if HasLoad is not set.
	Work *Work `cbor:"18,keyasint,omitempty"`
}

// ZoneEntries is the set of the live entries of an availability zone.
type ZoneEntries struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Fingerprint is the hash of the set.
	Fingerprint uint64
	// Listed is set if Entries holds the set. A receiver whose set has another fingerprint
	// asks for the list with Wanted.
	Listed  bool
	Entries []Entry
}

// ServerKey returns the short form of a server's ID in messages. If the keys of two servers
// are equal, each of them counts as loaded with the requests of both.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// EngineStatus is the status of a model engine as seen by the loader on the same VM.
type EngineStatus struct {
	_ struct{} `cbor:",toarray"`
	// Address is the address of the engine.
	Address string
	// Versions are the weight versions that the engine has loaded completely, by model.
	Versions map[string]int
	// Loading is set while the engine accepts no new requests because it loads weights.
	Loading bool
	// LoadsInMilliseconds is the expected time until the engine starts to load weights, 0
	// when no load is planned.
	LoadsInMilliseconds int64
	// Number is sent in a field of the message, since daemons of earlier releases reject arrays
	// with more elements. It is 0 if the loader or a relay is such a daemon.
	Number fuchsiarouter.StateNumber `cbor:"-"`
}

// Encode returns the binary form of the message.
func (m *Message) Encode() ([]byte, error) {
	message := *m
	if m.Report != nil {
		report := *m.Report
		report.EngineNumbers = numbersOf(report.Engines)
		message.Report = &report
	}
	if m.Digest != nil {
		digest := *m.Digest
		digest.EngineNumbers = numbersOf(digest.Engines)
		message.Digest = &digest
	}
	if m.Engine != nil {
		message.EngineNumber = m.Engine.Number
	}
	encoded, err := cbor.Marshal(&message)
	if err != nil {
		return nil, errors.Wrap(err, "roster: encode message")
	}
	return encoded, nil
}

// numbersOf returns the numbers of engine states.
func numbersOf(engines []EngineStatus) []fuchsiarouter.StateNumber {
	var numbers []fuchsiarouter.StateNumber
	for _, status := range engines {
		numbers = append(numbers, status.Number)
	}
	return numbers
}

// setNumbers sets the numbers of engine states, unless the sender does not number them.
func setNumbers(engines []EngineStatus, numbers []fuchsiarouter.StateNumber) {
	if len(numbers) != len(engines) {
		return
	}
	for i := range engines {
		engines[i].Number = numbers[i]
	}
}

// maxMessageElements bounds the elements of an array or a map in a received message.
const maxMessageElements = 4096

// decoder rejects messages with excessive arrays, maps or nesting.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxMessageElements, MaxMapPairs: maxMessageElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes a message. It returns an error if the message does not have exactly one
// field with the required content.
func Decode(encoded []byte) (*Message, error) {
	var message Message
	if err := decoder.Unmarshal(encoded, &message); err != nil {
		return nil, errors.Wrap(err, "roster: decode message")
	}
	if message.Report != nil {
		setNumbers(message.Report.Engines, message.Report.EngineNumbers)
	}
	if message.Digest != nil {
		setNumbers(message.Digest.Engines, message.Digest.EngineNumbers)
	}
	if message.Engine != nil {
		message.Engine.Number = message.EngineNumber
	}
	set := 0
	if message.Report != nil && message.Report.Entry.PeerAddress != "" {
		set++
	}
	if message.Digest != nil && message.Digest.Sender != "" && message.Digest.Zone != "" {
		set++
	}
	if message.Engine != nil && message.Engine.Address != "" {
		set++
	}
	if message.LeavingEngine != nil && message.LeavingEngine.Address != "" {
		set++
	}
	if set != 1 {
		return nil, errors.New("roster: message without a sender")
	}
	return &message, nil
}
