package platformtest_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRefusalWithoutBody guards against holding a refused request for the body of the refusal.
func TestRefusalWithoutBody(t *testing.T) {
	for _, path := range []string{"/order/x", "/report/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			refuser := f.newScriptedServer("s0", "plain", func(request *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: busy\r\nContent-Length: 2\r\n\r\n%s",
					request.Header.Get("X-Attempt-Id"), strings.Repeat(silenceMark, 10))
			})
			f.newScriptedServer("s1", "plain", whole)
			awaitRegistrations()
			g.Eventually(func() int32 {
				start := time.Now()
				status, body, _, err := f.send("POST", path, "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred(), "after %v", time.Since(start))
				g.Expect(status).To(gomega.Equal(http.StatusOK), "after %v: %s", time.Since(start), body)
				g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
				return refuser.runs.Load()
			}, waitTimeout).Should(gomega.BeEquivalentTo(1))
		})
	}
}
