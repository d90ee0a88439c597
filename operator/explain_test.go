package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/operator"
)

// runExplain runs the explain command without a platform and returns what it wrote to standard
// output.
func runExplain(arguments ...string) (string, error) {
	var out bytes.Buffer
	client := operator.Client{Out: &out, Err: &bytes.Buffer{}}
	err := client.Command().Run(context.Background(), append([]string{"fuchsiarouter", "--timeout", "2s", "explain"}, arguments...))
	return out.String(), err
}

// startAnswering starts a server that gives every request the same response, and returns its address.
func startAnswering(t *testing.T, status int, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestExplainCode guards against losing the explanation of result codes, and against an exit code for
// a wrong argument other than the documented one.
func TestExplainCode(t *testing.T) {
	g := gomega.NewWithT(t)
	out, err := runExplain("2013")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.HavePrefix("2013 region-unavailable\nHTTP status: 503\n"))
	for _, arguments := range [][]string{nil, {"x"}, {"99"}, {"2013", "--host", "h"}} {
		out, err := runExplain(arguments...)
		g.Expect(operator.ExitCode(err)).To(gomega.Equal(operator.ExitInvalid), fmt.Sprint(arguments))
		g.Expect(out).To(gomega.BeEmpty())
	}
}

// TestExplainRequestInput guards against input that is sent to an entry although it cannot be
// answered, or whose error does not say what is wrong.
func TestExplainRequestInput(t *testing.T) {
	address := startAnswering(t, http.StatusOK, `{"decision":"queue"}`)
	for message, arguments := range map[string][]string{
		"the host is missing":         {"--entry", address, "--path", "/x"},
		"not a host name":             {"--entry", address, "--path", "/x", "--host", "http://h"},
		"the path is missing":         {"--entry", address, "--host", "h"},
		"begin with a slash":          {"--entry", address, "--host", "h", "--path", "x"},
		"between 0 and":               {"--entry", address, "--host", "h", "--path", "/x", "--prompt-tokens", "-1"},
		"invalid value":               {"--entry", address, "--host", "h", "--path", "/x", "--output-tokens", "many"},
		"more than 3072 bytes":        {"--entry", address, "--host", "h", "--path", "/" + strings.Repeat("x", 4000)},
		"requires --entry":            {"--host", "h", "--path", "/x"},
		"of one entry":                {"--entry", address, "--entry", address, "--host", "h", "--path", "/x"},
		`"nowhere" is not an address`: {"--entry", "nowhere", "--host", "h", "--path", "/x"},
		`"h:1/?key=" is not an address with a host and a p`: {"--entry", "h:1/?key=", "--host", "h", "--path", "/x"},
		"flag provided but not defined":                     {"--entry", address, "--host", "h", "--path", "/x", "--colour", "red"},
	} {
		t.Run(message, func(t *testing.T) {
			g := gomega.NewWithT(t)
			t.Setenv("FUCHSIAROUTER_ENTRY", "")
			out, err := runExplain(append(arguments, "--key", "secret")...)
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(message)))
			g.Expect(err).NotTo(gomega.MatchError(gomega.ContainSubstring("secret")))
			g.Expect(operator.ExitCode(err)).To(gomega.Equal(operator.ExitInvalid))
			g.Expect(out).To(gomega.BeEmpty())
		})
	}
}

// TestExplainRequestWithoutAnswer guards against a command that succeeds or hangs when the entry does
// not answer, or not with an explanation.
func TestExplainRequestWithoutAnswer(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = silent.Close() })
	for name, test := range map[string]struct{ address, message string }{
		"nothing listens": {"127.0.0.1:1", "does not answer"},
		"silence":         {silent.Addr().String(), "does not answer"},
		"older entry":     {startAnswering(t, http.StatusNotFound, "not found"), "status 404"},
		"refusal":         {startAnswering(t, http.StatusBadRequest, "unknown parameter"), `status 400: "unknown parameter"`},
		"another service": {startAnswering(t, http.StatusOK, "<html>"), "not an explanation"},
		"empty object":    {startAnswering(t, http.StatusOK, "{}"), "not an explanation"},
		"endless answer":  {startAnswering(t, http.StatusOK, strings.Repeat(" ", 2<<20)), "does not answer"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			began := time.Now()
			out, err := runExplain("--entry", test.address, "--host", "h", "--path", "/x", "--key", "secret")
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(test.message)))
			g.Expect(err).NotTo(gomega.MatchError(gomega.ContainSubstring("secret")))
			g.Expect(operator.ExitCode(err)).To(gomega.Equal(operator.ExitUnavailable))
			g.Expect(out).To(gomega.BeEmpty())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Second))
		})
	}
}

// TestExplainRequestTable guards against a table that lacks the decision or the state of a server.
func TestExplainRequestTable(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startAnswering(t, http.StatusOK, `{"entry":"e1","zone":"z1","configuration":4,"configuration-age-ms":90,"route":"r","service":"s","rank":1,
		"allowed-regions":["q","r"],"model":"m","declared-version":3,"required-version":2,"decision":"refuse","result":"2005 no-server","reason":"no-server",
		"retry-after-ms":1200,"candidates":[{"server":"a","zone":"z1","excluded":"version-too-old","held-version":1,"in-flight":2,"slots":12,"preferred":true,"predicted-ms":80}],
		"candidates-omitted":7}`)
	out, err := runExplain("--entry", address, "--host", "h", "--path", "/x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.Equal(`entry      e1 in z1, configuration 4, 90 ms old
route      r
service    s
rank       1
workspace  -
regions    q, r
model      m, declared version 3, required version 2
decision   refuse with 2005 no-server (no-server), retry after 1200 ms

SERVER  ZONE  REGION  VERSION  IN-FLIGHT  PREFERRED  PREDICTED  STATE
a       z1    -       1        2/12       yes        80 ms      version-too-old
7 further servers are not listed
`))
}
