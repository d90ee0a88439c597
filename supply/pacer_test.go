package supply_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/supply"
)

// TestPacerPromisesOnlyWhatItCanSend guards against offers that time out: in a zone of 54
// loaders, all others ask the importer of a piece for it at once. It must send to as many as
// the link carries before the requests time out, and refuse the rest at once.
func TestPacerPromisesOnlyWhatItCanSend(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		pieceBytes = 24576
		others     = 53
		timeout    = time.Second
	)
	pacer := supply.Pacer{Rate: 0.84e6, IdleRate: 0.91e6}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	promised := 0
	var last time.Time
	for range others {
		if sendAt, ok := pacer.Reserve(now, now.Add(timeout), pieceBytes, false, false); ok {
			promised++
			g.Expect(sendAt).NotTo(gomega.BeTemporally(">", now.Add(timeout)))
			last = sendAt
		}
	}
	g.Expect(promised).To(gomega.BeNumerically("~", timeout.Seconds()*0.84e6/pieceBytes, 1.5))
	g.Expect(last).To(gomega.BeTemporally("~", now.Add(timeout), 30*time.Millisecond))

	sendAt, ok := pacer.Reserve(now, now.Add(timeout), pieceBytes, false, true)
	g.Expect(ok).To(gomega.BeTrue(), "an importer does not wait")
	g.Expect(sendAt).To(gomega.Equal(now))

	later := now.Add(timeout / 2)
	_, ok = pacer.Reserve(later, later.Add(timeout), pieceBytes, false, false)
	g.Expect(ok).To(gomega.BeTrue(), "refused requests must not use the link")
}
