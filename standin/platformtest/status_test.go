package platformtest_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// TestInvalidStatusIsNoAnswer guards against passing on a response whose status is not from 100 to
// 599, and against stating that its request did not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "007", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			faulty := f.newScriptedServer("s0", "plain", func(request *http.Request) string {
				return strings.Replace(whole(request), "200 OK", status+" Status", 1)
			})
			awaitRegistrations()
			code, body, header, err := f.send("POST", "/book/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(code).To(gomega.Equal(http.StatusBadGateway), body)
			g.Expect(header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("maybe"))
			g.Expect(faulty.runs.Load()).To(gomega.BeEquivalentTo(1))
			// A repeatable request is served by another server.
			f.newScriptedServer("s1", "plain", whole)
			awaitRegistrations()
			for number := range 4 {
				code, body, _, err = f.send("GET", fmt.Sprint("/stock/", number), "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(code).To(gomega.Equal(http.StatusOK), body)
			}
		})
	}
}

// TestMalformedRefusalIsNoAnswer guards against sending a non-repeatable request again, and stating that
// it did not run, because of a refusal with a malformed field name.
func TestMalformedRefusalIsNoAnswer(t *testing.T) {
	for _, field := range []string{"Bad Name: x", "Bad : x", "Good: x\r\n folded"} {
		t.Run(field, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			var faulty []*scriptedServer
			for index := range 2 {
				faulty = append(faulty, f.newScriptedServer(fmt.Sprint("s", index), "plain", func(request *http.Request) string {
					return frame(request, "length", "503 Busy\r\nX-Not-Executed: full\r\nRetry-After: 2\r\n"+field, "")
				}))
			}
			awaitRegistrations()
			code, body, header, err := f.send("POST", "/book/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(code).To(gomega.Equal(http.StatusBadGateway), body)
			g.Expect(header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("maybe"))
			g.Expect(faulty[0].runs.Load() + faulty[1].runs.Load()).To(gomega.BeEquivalentTo(1))
			// A repeatable request, which may reach two servers, is served by the sound one.
			f.store.Put(keyedstore.TopicServers, "s1", "")
			f.newScriptedServer("s2", "plain", whole)
			awaitRegistrations()
			for number := range 4 {
				code, body, _, err = f.send("GET", fmt.Sprint("/stock/", number), "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(code).To(gomega.Equal(http.StatusOK), body)
			}
		})
	}
}

// TestMalformedTrailerCutsStream guards against a stream that looks complete although its trailer has a
// malformed field name, and against losing events before it.
func TestMalformedTrailerCutsStream(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	for index := range 2 {
		replies := streamReplies("chunked", streamBody(1, 2))
		f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
			if request.Header.Get("Last-Event-Id") != "" {
				return replies(request)
			}
			return strings.TrimSuffix(replies(request), "\r\n") + "Bad Name: x\r\n\r\n"
		})
	}
	awaitRegistrations()
	status, received, _, err := f.send("POST", "/once/x", "k1", "")
	g.Expect(err).To(gomega.HaveOccurred(), "%d %q", status, received)
	g.Expect(received).To(gomega.Equal(streamBody(1, 2)))
	status, received, _, err = f.send("POST", "/llm/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(received).To(gomega.Equal(streamBody(1, 5)))
}
