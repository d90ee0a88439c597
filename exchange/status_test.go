package exchange_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/exchange"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
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

// TestInvalidFieldNames guards against believing anything in a head with a malformed field name, and
// against taking a response with such a trailer for a whole one.
func TestInvalidFieldNames(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nId: 1\r\nRetry-After: 2\r\n"
	for _, response := range []string{
		refusal + "Bad Name: x\r\nContent-Length: 2\r\n\r\nok", refusal + "Content-Length : 2\r\n\r\nok", refusal + "Bad : x\r\n\r\nokCLOSE",
		refusal + "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "HTTP/1.1 503 Busy\r\nId : 1\r\n\r\nokCLOSE",
		"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + responseOK,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad : x\r\n\r\n",
	} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 204 No Content\r\nId: 7\r\nContent-Length: 3\r\n\r\n"} {
			g := gomega.NewWithT(t)
			s := startServer(t, func(int) string { return before + response })
			matched := 0
			client := exchange.New()
			answer, err := client.Send(t.Context(), s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline),
				func(header *fasthttp.ResponseHeader) exchange.Match {
					if header.StatusCode() != fasthttp.StatusNoContent {
						matched++
					}
					return matchID(header)
				}, func() bool { return true })
			if strings.Contains(response, "200 OK\r\nId: 1\r\nTransfer") {
				g.Expect(err).NotTo(gomega.HaveOccurred(), response)
				_, err = answer.ReadAll(1<<20, nil)
				answer.Close()
			} else {
				g.Expect(matched).To(gomega.BeZero(), response)
			}
			g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid), response)
			g.Expect(err).NotTo(gomega.MatchError(exchange.ErrNotSent), response)
			g.Expect(client.OpenConnections()).To(gomega.BeZero())
		}
	}
}
