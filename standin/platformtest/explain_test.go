package platformtest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fuchsiarouter/fuchsiarouter/explanation"
	"github.com/fuchsiarouter/fuchsiarouter/operator"
)

// explain runs the explain command of the operators' client against an entry.
func explain(peerAddress string, arguments ...string) (string, error) {
	var out bytes.Buffer
	client := operator.Client{Out: &out, Err: io.Discard}
	err := client.Command().Run(context.Background(), append([]string{"fuchsiarouter", "explain", "--entry", peerAddress}, arguments...))
	return out.String(), err
}

// explainJSON returns the answer of an entry for a request to the host of the configuration.
func explainJSON(g *gomega.WithT, peerAddress string, arguments ...string) explanation.Answer {
	g.THelper()
	out, err := explain(peerAddress, append([]string{"--json", "--host", "H.example:80"}, arguments...)...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var answer explanation.Answer
	g.Expect(json.Unmarshal([]byte(out), &answer)).To(gomega.Succeed())
	return answer
}

// TestExplainRequest guards against explanations that differ from what the entry does, that send the
// request, or that show the API key in the answer or the log.
func TestExplainRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logs := observer.New(zap.DebugLevel)
	f := startFleet(t)
	f.log = zap.New(core)
	f.moveServers(1, "y")
	f.regions = map[string]string{"z": "r", "y": "q"}
	f.callerAddress, f.directoryAddress = allocateAddress(), ""
	peerAddress := allocateAddress()
	f.newIngress("e2", f.callerAddress, allocateAddress(), peerAddress)
	awaitRegistrations()
	f.publishRestricted(2, `["q"]`, `[]`)

	answer := explainJSON(g, peerAddress, "--path", "/stock/x?a=b", "--key", "k1", "--model", "m")
	g.Expect(answer.ConfigurationAgeMs).To(gomega.BeNumerically("<", 5000))
	answer.ConfigurationAgeMs = 0
	g.Expect(answer).To(gomega.Equal(explanation.Answer{
		Entry: "e2", Zone: "z", Configuration: 2, Route: "stock", Service: "plain", Workspace: "w", AllowedRegions: []string{"q"},
		Decision: explanation.DecisionSend, Server: "p1",
		Candidates: []explanation.Candidate{
			{Server: "p0", Zone: "z", Region: "r", Slots: answer.Candidates[0].Slots, Preferred: true, Excluded: "region-not-allowed"},
			{Server: "p1", Zone: "y", Region: "q", Slots: answer.Candidates[1].Slots},
		},
	}))
	status, body, _, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("answer of p1"))
	g.Expect(f.allRuns(f.plainServers)).To(gomega.HaveLen(1), "the explanation sends nothing")

	answer = explainJSON(g, peerAddress, "--path", "/llm/x", "--key", "k1", "--model", "m", "--prompt-tokens", "900", "--output-tokens", "90")
	g.Expect(answer.Route).To(gomega.Equal("draft"))
	g.Expect(answer.Model).To(gomega.Equal("m"))
	g.Expect(answer.Candidates).To(gomega.HaveLen(2))
	g.Expect(answer.Server).To(gomega.Equal("e1"))
	g.Expect(answer.Candidates[1].HeldVersion).To(gomega.Equal(1))
	answer = explainJSON(g, peerAddress, "--path", "/llm/x", "--key", "k1", "--model", "other")
	g.Expect(answer.Decision).To(gomega.Equal(explanation.DecisionRefuse))
	g.Expect(answer.Candidates[1].Excluded).To(gomega.Equal("model-not-held"))

	answer = explainJSON(g, peerAddress, "--path", "/book/x", "--key", "k1", "--region", "q")
	g.Expect(answer.AllowedRegions).To(gomega.Equal([]string{"q"}))
	g.Expect(answer.Server).To(gomega.Equal("p1"))
	for _, region := range []string{"r", "unknown"} {
		answer = explainJSON(g, peerAddress, "--path", "/stock/x", "--key", "k1", "--region", region)
		g.Expect(answer.Result).To(gomega.Equal("2013 region-unavailable"))
		g.Expect(answer.AllowedRegions).To(gomega.And(gomega.BeEmpty(), gomega.Not(gomega.BeNil())))
	}

	f.evacuate("y", true)
	answer = explainJSON(g, peerAddress, "--path", "/stock/x", "--key", "k1")
	g.Expect(answer.Result).To(gomega.Equal("2013 region-unavailable"))
	g.Expect(answer.RetryAfterMs).To(gomega.BeNumerically(">", 0))
	g.Expect(answer.Candidates[1].Excluded).To(gomega.Equal("zone-evacuated"))
	f.expectRegionUnavailable(g, "/stock/x")
	f.evacuate("y", false)

	for path, expected := range map[string]string{"/none/x": "no route", "/stock/x": "no workspace has the key"} {
		answer = explainJSON(g, peerAddress, "--path", path, "--key", "secret-key-0")
		g.Expect(answer.Decision).To(gomega.Equal(explanation.DecisionRefuse))
		g.Expect(answer.Reason).To(gomega.Equal(expected))
		g.Expect(answer.Candidates).To(gomega.BeEmpty())
	}
	out, err := explain(peerAddress, "--host", "h.example", "--path", "/book/x", "--key", "k1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.MatchRegexp(`route +booking\n`))
	g.Expect(out).To(gomega.MatchRegexp(`decision +send to p0\n`))
	g.Expect(out).To(gomega.MatchRegexp(`p0 +z +r +- +0/\d+ +yes +- +selected\n`))

	f.expectExplanationRefused(g, peerAddress)
	g.Eventually(func() int { return logs.FilterMessage("control connection failed").Len() }, waitTimeout).Should(gomega.Equal(len(unreadableReads)))
	for _, entry := range logs.All() {
		line, err := json.Marshal(entry)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(line) + entry.Message).NotTo(gomega.ContainSubstring("secret-key"))
	}
	g.Expect(f.allRuns(f.llmServers)).To(gomega.BeEmpty())
}

// unreadableReads are reads of an explanation that are no HTTP requests. The errors of the HTTP server
// repeat them.
var unreadableReads = []string{
	"GET /explain?key=secret-key-3\r\n\r\n",
	"GET /explain?key=secret-key-3 HTTP/1.1\r\nHost: x\r\nsecret-key-3\r\n\r\n",
	"GET /explain?key=secret-key-3 HTTP/9\r\n\r\n",
}

// expectExplanationRefused sends malformed reads of an explanation, with an API key, and expects that
// the answers refuse them without it.
func (f *testFleet) expectExplanationRefused(g *gomega.WithT, peerAddress string) {
	for _, query := range []string{
		"", "host=h.example&key=secret-key-1", "path=/x&key=secret-key-1", "host=h.example&path=x&key=secret-key-1", "host=h.example&path=/x&secret-key-1",
		"host=h.example&path=/x&key=secret-key-1&key=secret-key-2", "host=h.example&path=/x&key=secret-key-1&prompt-tokens=secret-key-1",
		"host=h.example&path=/x&prompt-tokens=-1&key=secret-key-1", "host=h.example&path=/x&output-tokens=99999999999999999999&key=secret-key-1",
		"host=h.example&path=/" + string(bytes.Repeat([]byte("x"), 3500)) + "&key=secret-key-1",
		"host=" + url.QueryEscape("h example") + "&path=/x&key=secret-key-1",
	} {
		response, err := f.client.Get("http://" + peerAddress + "/explain?" + query)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadRequest), query)
		g.Expect(string(body)).NotTo(gomega.ContainSubstring("secret-key"), query)
	}
	for _, text := range unreadableReads {
		conn, err := net.Dial("tcp", peerAddress)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(conn, text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		answer, err := io.ReadAll(conn)
		_ = conn.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(answer)).To(gomega.And(gomega.HavePrefix("HTTP/1.1 400 "), gomega.Not(gomega.ContainSubstring("secret-key"))))
	}
	response, err := f.client.Post("http://"+peerAddress+"/explain?host=h.example&path=/x", "", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusMethodNotAllowed))
}
