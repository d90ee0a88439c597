package platformtest_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
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
