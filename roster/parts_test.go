package roster_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// TestPartReportInMessages guards against a report of suspected parts that entries send and
// that no other entry can read.
func TestPartReportInMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	report := &fuchsiarouter.PartReport{
		Crashes: []fuchsiarouter.PartCrash{{CrashID: "i-1/2", AgeMilliseconds: 5, Positions: map[string]int{"a1": 1}, SoundRequests: 3}},
		Cleared: []fuchsiarouter.ClearedPart{{Part: "b2", AgeMilliseconds: 7}},
	}
	for _, message := range []roster.Message{
		{Report: &roster.Report{Entry: roster.Entry{PeerAddress: "127.0.0.1:1"}, Parts: report}},
		{Digest: &roster.Digest{Sender: "127.0.0.1:1", Zone: "z", Parts: report}},
	} {
		encoded, err := message.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		decoded, err := roster.Decode(encoded)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(*decoded).To(gomega.Equal(message))
	}
}
