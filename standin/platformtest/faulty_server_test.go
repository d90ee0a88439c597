package platformtest_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestHeadThatIsCut guards against passing on a response of which the server wrote only a part of
// the head as a complete one with an empty body.
func TestHeadThatIsCut(t *testing.T) {
	for _, route := range []struct{ path, service string }{{"/stock/x", "plain"}, {"/book/x", "plain"}, {"/llm/x", "llm"}, {"/once/x", "llm"}} {
		for _, framing := range framings {
			t.Run(route.path+", "+framing, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := startFleet(t)
				f.removeServers(f.plainServers)
				f.removeServers(f.llmServers)
				for index := range 2 {
					f.newScriptedServer(fmt.Sprint("s", index), route.service, func(request *http.Request) string {
						head, _, _ := strings.Cut(frame(request, framing, "200 OK", streamBody(1, 3)), "\r\n\r\n")
						return head + "\r\n" + closeMark
					})
				}
				awaitRegistrations()
				status, received, _, err := f.send("POST", route.path, "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusBadGateway), received)
			})
		}
	}
}
