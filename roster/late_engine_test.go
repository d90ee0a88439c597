package roster_test

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// TestDelayedReportKeepsNewerEngineState guards against a delayed report that replaces a newer state of an engine.
func TestDelayedReportKeepsNewerEngineState(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("passed over, see KNOWN-RED.txt")
	}
	g := gomega.NewWithT(t)
	receiver, sender, reader := newEntry("receiver", "a"), newEntry("sender", "a"), newEntry("reader", "a")
	at, other := roster.New(receiver), roster.New(sender)
	report(at, startTime, reader)
	other.RecordEngine(startTime, roster.EngineStatus{Address: "engine:1", Versions: map[string]int{"rounds": 1}})
	delayed := other.NewReport(startTime)
	g.Expect(delayed.Engines).To(gomega.HaveLen(1))
	at.RecordEngine(startTime.Add(100*time.Millisecond), roster.EngineStatus{Address: "engine:1", Versions: map[string]int{"rounds": 2}})
	at.ReceiveReport(startTime.Add(200*time.Millisecond), &delayed)
	passedOn := at.DigestFor(startTime.Add(300*time.Millisecond), reader.PeerAddress, 0, nil, false).Engines
	g.Expect(passedOn).To(gomega.HaveLen(1))
	g.Expect(passedOn[0].Versions).To(gomega.HaveKeyWithValue("rounds", 2))
}
