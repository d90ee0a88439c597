package hostiletest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// serverBody is the body of the responses of servers.
const serverBody = "whole body"

// rareName and rareValue are the name and the value of a field that are valid.
const (
	rareName  = "!#$%&'*+-.^_`|~09azAZ"
	rareValue = "\"a b\"; (c) : \x80\xff"
)

// scriptedServer is the only server of a service, with the name of that service. It sends a response
// byte for byte, in which %ID% stands for the ID of the request, and closes the connection if the body
// has no other end.
type scriptedServer struct {
	service, response string
	// status is the status that callers are to receive, 502 if the response is malformed.
	status int
	runs   atomic.Int32
}

// serve answers requests until the end of the test.
func (s *scriptedServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				s.runs.Add(1)
				_, _ = io.WriteString(conn, strings.ReplaceAll(s.response, "%ID%", request.Header.Get("X-Attempt-Id")))
				if !strings.Contains(s.response, "Content-Length") && !strings.Contains(s.response, "chunked") {
					return
				}
			}
		}()
	}
}

// outcomes are the first lines of a success, of a failure and of two refusals.
var outcomes = []string{
	"200 OK", "404 Not Found", "503 Service Unavailable\r\nRetry-After: 2\r\nX-Not-Executed: full",
	"429 Too Many Requests\r\nRetry-After: 2\r\nX-Not-Executed: full",
}

// framings are the ends of responses whose body ends by its length, with the last chunk and with the
// connection. %TRAILER% stands for the fields of a trailer.
var framings = []string{
	"Content-Length: 10\r\n\r\n" + serverBody,
	"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n5\r\n body\r\n0\r\n%TRAILER%\r\n",
	"\r\n" + serverBody,
}

// format returns a response that begins with an outcome and ends as a framing says, with fields in an
// informational head, in the final one and in the trailer.
func format(outcome, framing, informational, final, trailer string) string {
	head := ""
	if informational != "" {
		head = "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %ID%\r\n" + informational + "\r\n"
	}
	return head + "HTTP/1.1 " + outcome + "\r\nX-Attempt-Id: %ID%\r\nX-Server-Seal: s\r\n" + final + strings.Replace(framing, "%TRAILER%", trailer, 1)
}

// malformedResponses returns responses with each byte that a token does not have within the name of a
// field, at its beginning and in front of the colon.
func malformedResponses() []string {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	var responses []string
	for char := range 256 {
		if strings.IndexByte(tokenBytes, byte(char)) >= 0 {
			continue
		}
		text := string([]byte{byte(char)})
		fields := []string{text + "Bad-Name: x\r\n", "Bad" + text + "Name: x\r\n", "Bad-Name" + text + ": x\r\n"}
		if char == ':' {
			fields = fields[:1]
		}
		for index, field := range fields {
			outcome, framing := outcomes[(char+index)%len(outcomes)], framings[(char+index)%len(framings)]
			responses = append(responses, format(outcome, framing, "", field, ""), format(outcome, framing, field, "", ""),
				format(outcomes[char%2], framings[1], "", "", field))
			// The parser accepts blanks, so they are combined with all outcomes and framings.
			if char != ' ' {
				continue
			}
			for _, outcome := range outcomes {
				for _, framing := range framings {
					responses = append(responses, format(outcome, framing, "", field, ""), format(outcome, framing, field, "", ""))
				}
			}
		}
	}
	return append(responses,
		format("200 OK", framings[0], "", "Transfer-Encoding : chunked\r\n", ""),
		format("200 OK", "Content-Length: 5\r\n\r\n0\r\n\r\n", "", "Transfer-Encoding : chunked\r\n", ""),
		format("200 OK", framings[0], "", "Transfer Encoding: chunked\r\n", ""),
		format("200 OK", framings[2], "", "Content-Length : 2\r\n", ""),
		format("200 OK", framings[2], "", "Content-Length: 99999999999999999999\r\nBad Name: x\r\n", ""),
		format("200 OK", framings[1], "", "Content-Length: 999999999999999999\r\n", "Bad Name: x\r\n"),
		format("200 OK", framings[1], "", "", "Good: x\r\n folded\r\n"),
		format("200 OK", framings[0], "", "No-Colon\r\n", ""),
	)
}

// wellFormedResponses returns responses that are rare, and the status of each.
func wellFormedResponses() map[string]int {
	const fields = rareName + ": a\r\nEmpty: \r\nTight:z\r\n" + "Rare:\t" + rareValue + "\t\r\n"
	responses := map[string]int{}
	for _, framing := range framings {
		responses[format("200 OK", framing, fields, fields, fields)] = http.StatusOK
		responses[format("404 Not Found", framing, fields, fields, fields)] = http.StatusNotFound
		responses[format("200 ", framing, "Bad-Name: x\r\n", strings.Repeat("n", 200)+": "+strings.Repeat("v", 2000)+"\r\n", "")] = http.StatusOK
	}
	responses[format("200 OK", "Transfer-Encoding: Chunked\r\n\r\n00A;name=\"a b: c\";flag\r\nwhole body\r\n0;last\r\nBad-Name: x\r\n\r\n", "", "", "")] = http.StatusOK
	return responses
}

// startServices starts an ingress whose configuration has a service for each server, with a route of
// its own, and returns the address for callers.
func startServices(t *testing.T, servers []*scriptedServer) string {
	g := gomega.NewWithT(t)
	daemon, p, _ := startIngress(t)
	var routes, services strings.Builder
	for _, server := range servers {
		listener, err := net.Listen("tcp", newAddress())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		go server.serve(listener)
		p.store.Put(keyedstore.TopicServers, "server-"+server.service, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"models":[]}`,
			server.service, listener.Addr()))
		_, _ = fmt.Fprintf(&routes, `,{"name":%q,"host":"h.example","pathPrefix":"/%s/","kind":"unsafe","timeoutMs":1000,"service":%q,"maxAttempts":3}`,
			server.service, server.service, server.service)
		_, _ = fmt.Fprintf(&services, `,{"name":%q}`, server.service)
	}
	configuration := fmt.Sprintf(configurationFormat, callerBodyBytes)
	configuration = strings.Replace(configuration, `"version":1`, `"version":2`, 1)
	configuration = strings.Replace(configuration, `],`+"\n"+` "services"`, routes.String()+`],`+"\n"+` "services"`, 1)
	configuration = strings.Replace(configuration, `{"name":"large"}`, `{"name":"large"}`+services.String(), 1)
	p.store.Put(keyedstore.TopicOperator, "config", configuration)
	// The ingress reads the configuration and the servers within half a second.
	time.Sleep(time.Second)
	return daemon.address
}

// TestResponsesOfIngress guards against passing on anything of a malformed response, believing what it
// says, and changing a well-formed one.
func TestResponsesOfIngress(t *testing.T) {
	var servers []*scriptedServer
	add := func(response string, status int) {
		servers = append(servers, &scriptedServer{service: fmt.Sprint("s", len(servers)), response: response, status: status})
	}
	for _, response := range malformedResponses() {
		add(response, http.StatusBadGateway)
	}
	for response, status := range wellFormedResponses() {
		add(response, status)
	}
	address := startServices(t, servers)
	const callers = 8
	var waiting sync.WaitGroup
	for caller := range callers {
		waiting.Go(func() {
			for index := caller; index < len(servers); index += callers {
				server := servers[index]
				if err := server.check(address); err != nil {
					t.Errorf("%v, for the response %.300q", err, server.response)
				}
				if runs := server.runs.Load(); runs != 1 {
					t.Errorf("the request reached the server %d times, for the response %.300q", runs, server.response)
				}
			}
		})
	}
	waiting.Wait()
	t.Logf("%d responses", len(servers))
}

// check sends a request for the service and checks the response that the caller receives.
func (s *scriptedServer) check(address string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+s.service+"/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%x", time.Now().UnixNano()))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	isServers := response.Header.Get("X-Server-Seal") != ""
	switch {
	case response.StatusCode != s.status:
		return fmt.Errorf("status %d, want %d, body %q", response.StatusCode, s.status, body)
	case s.status == http.StatusBadGateway && (isServers || response.Header.Get("Fuchsiarouter-Ran") != "maybe"):
		return fmt.Errorf("502 with the header %v", response.Header)
	case s.status != http.StatusBadGateway && (!isServers || string(body) != serverBody):
		return fmt.Errorf("body %q, header %v", body, response.Header)
	}
	_, final, _ := strings.Cut(s.response, "X-Server-Seal")
	head, _, _ := strings.Cut(final, "\r\n\r\n")
	if s.status == http.StatusBadGateway || !strings.Contains(head, rareName) {
		return nil
	}
	for name, value := range map[string]string{rareName: "a", "Empty": "", "Tight": "z", "Rare": rareValue} {
		if values := response.Header.Values(name); len(values) != 1 || values[0] != value {
			return fmt.Errorf("the field %s has the values %q", name, values)
		}
	}
	return nil
}
