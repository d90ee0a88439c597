package roster_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// TestDelayedReportKeepsNewerEngineState guards against a delayed report that replaces a newer state of an engine.
func TestDelayedReportKeepsNewerEngineState(t *testing.T) {
	g := gomega.NewWithT(t)
	receiver, sender, reader := newEntry("receiver", "a"), newEntry("sender", "a"), newEntry("reader", "a")
	at, other := roster.New(receiver), roster.New(sender)
	report(at, startTime, reader)
	other.RecordEngine(startTime, roster.EngineStatus{Address: "engine:1", Versions: map[string]int{"rounds": 1}, Number: 1})
	delayed := other.NewReport(startTime)
	g.Expect(delayed.Engines).To(gomega.HaveLen(1))
	at.RecordEngine(startTime.Add(100*time.Millisecond), roster.EngineStatus{Address: "engine:1", Versions: map[string]int{"rounds": 2}, Number: 2})
	at.ReceiveReport(startTime.Add(200*time.Millisecond), &delayed)
	passedOn := at.DigestFor(startTime.Add(300*time.Millisecond), reader.PeerAddress, 0, nil, false).Engines
	g.Expect(passedOn).To(gomega.HaveLen(1))
	g.Expect(passedOn[0].Versions).To(gomega.HaveKeyWithValue("rounds", 2))
}

// TestNumbersOfEngineStatesAreSent guards against states that lose their numbers on the way, or that earlier releases reject.
func TestNumbersOfEngineStatesAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	states := []roster.EngineStatus{{Address: "engine:1", Number: 7}, {Address: "engine:2", Number: 8}}
	entry := newEntry("sender", "a")
	engines := func(message roster.Message) []roster.EngineStatus {
		encoded, err := message.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var earlier struct {
			Engine *earlierEngineStatus `cbor:"3,keyasint"`
			Report *struct {
				Engines []earlierEngineStatus `cbor:"6,keyasint"`
			} `cbor:"1,keyasint"`
			Digest *struct {
				Engines []earlierEngineStatus `cbor:"10,keyasint"`
			} `cbor:"2,keyasint"`
		}
		g.Expect(cbor.Unmarshal(encoded, &earlier)).To(gomega.Succeed())
		decoded, err := roster.Decode(encoded)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		switch {
		case decoded.Report != nil:
			return decoded.Report.Engines
		case decoded.Digest != nil:
			return decoded.Digest.Engines
		}
		return []roster.EngineStatus{*decoded.Engine}
	}
	g.Expect(engines(roster.Message{Engine: &states[0]})).To(gomega.Equal(states[:1]))
	g.Expect(engines(roster.Message{Report: &roster.Report{Entry: entry, Engines: states}})).To(gomega.Equal(states))
	g.Expect(engines(roster.Message{Digest: &roster.Digest{Sender: entry.PeerAddress, Zone: "a", Engines: states}})).To(gomega.Equal(states))
}

// earlierEngineStatus is an engine state as releases without numbers decode it.
type earlierEngineStatus struct {
	_                   struct{} `cbor:",toarray"`
	Address             string
	Versions            map[string]int
	Loading             bool
	LoadsInMilliseconds int64
}
