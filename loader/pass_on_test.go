package loader_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// TestPassedOnPieceDoesNotWaitForLink guards against loaders that wait for a piece because the one
// that passes it on is offered it after the other pieces that the source sends.
func TestPassedOnPieceDoesNotWaitForLink(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	engine := f.addEngine(t, 2, "a", true)
	// The link carries one of these pieces in 1.1 s, which is longer than an offer may wait.
	g.Expect(engine.StagePiece(model, 0, make([]byte, 1<<20))).To(gomega.Succeed())
	offer := func(query string) int {
		status, _, err := fasthttp.Get(nil, fmt.Sprintf("http://127.0.0.2:%d/offer?model=%s&version=1&wanted=0%s", f.port, model, query))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return status
	}
	g.Eventually(func() int { return offer("") }, testTimeout).Should(gomega.Equal(fasthttp.StatusOK))
	g.Expect(offer("")).To(gomega.Equal(fasthttp.StatusNoContent), "the link is in use")
	g.Expect(offer("&passed-on=0")).To(gomega.Equal(fasthttp.StatusOK))
	g.Expect(offer("&passed-on=1")).To(gomega.Equal(fasthttp.StatusNoContent), "only pieces that are passed on go first")
}
