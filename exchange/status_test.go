package exchange_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/exchange"
)

// TestInvalidStatus guards against passing on a response whose status is not from 100 to 599, as the
// first or a later one on its connection, and against rejecting a valid one.
func TestInvalidStatus(t *testing.T) {
	for _, test := range []struct {
		status  string
		isValid bool
	}{
		{"000", false},
		{"007", false},
		{"099", false},
		{"600", false},
		{"999", false},
		{"200", true},
		{"299", true},
		{"404", true},
		{"599", true},
	} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nold"} {
			g := gomega.NewWithT(t)
			s := startServer(t, func(request int) string {
				if request == 1 {
					return responseOK
				}
				return before + fmt.Sprintf("HTTP/1.1 %s Status\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", test.status)
			})
			client := exchange.New()
			g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
			body, err := sendAndReadAll(client, s)
			if test.isValid {
				g.Expect(body, err).To(gomega.Equal("ok"), "%s after %q", test.status, before)
				continue
			}
			g.Expect(err).To(gomega.HaveOccurred(), "%s after %q", test.status, before)
			g.Expect(err).NotTo(gomega.MatchError(exchange.ErrNotSent), "the request may have run")
		}
	}
}
