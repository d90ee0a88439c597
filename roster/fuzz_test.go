package roster_test

import (
	"testing"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// FuzzDecode guards against a datagram that makes the decoder, or a roster that receives the
// message, panic. A roster must answer it with messages that can be decoded.
func FuzzDecode(f *testing.F) {
	entry := roster.Entry{Name: "b", PeerAddress: "127.0.0.2:1", AvailabilityZone: "z", Region: "r", Started: 1}
	for _, message := range []roster.Message{
		{Report: &roster.Report{Entry: entry, Load: map[uint32]int{1: 2}, Stalled: []string{"i"}, Wanted: []string{"y"}, WantLoad: true, Work: &roster.Work{Entries: 1, Counters: []roster.WorkCounter{{Key: 1, Rank: 2, Served: 3}}}}},
		{Digest: &roster.Digest{
			Sender: "127.0.0.2:1", Zone: "z", HasLoad: true, Load: map[uint32]int{1: 2},
			Zones: []roster.ZoneEntries{{Zone: "y", Listed: true, Entries: []roster.Entry{entry}}},
		}},
		{Engine: &roster.EngineStatus{Address: "127.0.0.2:2", Versions: map[string]int{"m": 1}, LoadsInMilliseconds: 3}},
		{LeavingEngine: &availability.Server{Address: "127.0.0.2:2", Started: 1}},
	} {
		encoded, err := message.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	now := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := roster.Decode(datagram)
		if err != nil {
			return
		}
		r := roster.New(roster.Entry{Name: "a", PeerAddress: "127.0.0.1:1", AvailabilityZone: "z", Region: "r", Started: 1})
		switch {
		case message.Report != nil:
			r.ReceiveReport(now, message.Report)
		case message.Digest != nil:
			r.ReceiveDigest(now, message.Digest)
		case message.Engine != nil:
			r.RecordEngine(now, *message.Engine)
		}
		report, digest := r.NewReport(now), r.DigestFor(now, "127.0.0.2:1", 0, []string{"y"}, true)
		for _, answer := range []roster.Message{{Report: &report}, {Digest: &digest}} {
			encoded, err := answer.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := roster.Decode(encoded); err != nil {
				t.Fatal(err)
			}
		}
		r.CallerAddresses(now, "", "z", true)
		r.CallerAddresses(now, "r", "z", true)
		r.RequestsElsewhere(now)
	})
}
