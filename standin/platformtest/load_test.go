package platformtest_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// TestReportedLoadSwitchesEngineTimeOn guards against an entry that does not read a load with four
// figures, does not pass the length of the prompt on, or fails on a load that it cannot read: once a
// server has reported its pace, the urgency of requests depends on the length of their prompts.
func TestReportedLoadSwitchesEngineTimeOn(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	var load, urgency atomic.Value
	load.Store("")
	f.newScriptedServer("s0", "llm", func(request *http.Request) string {
		urgency.Store(request.Header.Get("X-Request-Urgency"))
		return withHeader(whole(request), "X-Server-Load: "+load.Load().(string)+"\r\n")
	})
	awaitRegistrations()
	send := func(tokens string) string {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress+"/llm/x", strings.NewReader("{}"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Host = "h.example"
		for name, value := range map[string]string{"X-Attempt-Id": "a" + tokens, "X-Model": "m", "Authorization": "Bearer k1", "X-Token-Usage": tokens} {
			request.Header.Set(name, value)
		}
		response, err := f.client.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal(streamBody(1, 5)))
		g.Expect(response.Header.Get("X-Server-Load")).To(gomega.BeEmpty(), "the load is for the entry only")
		return urgency.Load().(string)
	}
	const long, short = "4000,50", "100,50"
	for _, reported := range []string{"", "1,0,4", "1,0,4,x", "1,0,4,100,7", "1,0", "1,0,4,100"} {
		load.Store(reported)
		g.Expect(send(long)).To(gomega.Equal("1"), "before the response with the load %q", reported)
	}
	g.Expect(send(long)).To(gomega.Equal("5"))
	g.Expect(send(short)).To(gomega.Equal("3"))
	g.Eventually(func() string {
		response, err := f.client.Get("http://" + f.peerAddress + "/metrics")
		if err != nil {
			return ""
		}
		defer response.Body.Close()
		page, _ := io.ReadAll(response.Body)
		return string(page)
	}, waitTimeout).Should(gomega.And(
		gomega.MatchRegexp(`first_events\{[^}]*prompt="long"[^}]*\} [1-9]`), gomega.MatchRegexp(`first_event_(late|early)_seconds_count [1-9]`),
	))
}
