// Package backendserver is a stand-in of a backend server of the users' platform, to which the
// ingress forwards requests. It responds with a stream of server-sent events on paths that end
// with "stream" and with a plain body on all others, injects configured faults, and records
// every request that it ran.
package backendserver

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Behaviour configures how a server responds, including injected faults.
type Behaviour struct {
	// StreamEvents is the number of events of a complete stream. Events have the IDs 1 to
	// StreamEvents.
	StreamEvents int
	// EventInterval is the pause after each event of a stream.
	EventInterval time.Duration
	// CutAfterEvents is the ID of the last event that a stream sends whole: the connection
	// is closed in the middle of the next event. 0 never cuts off a stream.
	CutAfterEvents int
	// RefuseRequests responds with status 503 and the header X-Not-Executed, which says that
	// the request did not run.
	RefuseRequests bool
	// RetryAfter is the value of the header Retry-After of refusals, empty for none.
	RetryAfter string
	// Leaving says in every response, with the header Server-Leaving, that the server leaves.
	Leaving bool
	// DropResponse runs the request but closes the connection without a response.
	DropResponse bool
	// Status is the HTTP status of plain responses; 0 means 200.
	Status int
	// ResponseBytes is the size of plain responses; 0 means a short text.
	ResponseBytes int
	// ResponseDelay is the time from receiving a request to its plain response. The
	// request counts as in progress meanwhile.
	ResponseDelay time.Duration
}

// Run is a request that the server ran, as it was received. RequestID, Workspace and
// LastEventID are the values of the headers X-Attempt-Id, X-Tenant and Last-Event-Id. A
// LastEventID is set when the client resumes a stream after that event.
type Run struct {
	RequestID, Method, URI, Body, Workspace, LastEventID string
	// DeadlineMs is the value of the header X-Deadline-Ms: how long the sender waits for
	// the response, in milliseconds from when it sent the request.
	DeadlineMs int
	// Headers is the request line and all headers.
	Headers string
	// StartedAt and EndedAt are the times at which the server began and ended its work on the
	// request. EndedAt is zero while the request is in progress.
	StartedAt, EndedAt time.Time
}

// Arrival is a request that reached the server, whether it ran or not.
type Arrival struct {
	RequestID string
	At        time.Time
	// Behaviour is the one that applied to the request.
	Behaviour Behaviour
}

// Server is a running stand-in of a backend server.
type Server struct {
	// ID is the value of the header X-Target-Instance in requests for this server. The
	// server rejects other requests with status 421.
	ID      string
	address string
	http    *fasthttp.Server

	mu        sync.Mutex
	behaviour Behaviour
	runs      []Run
	arrivals  []Arrival
	// active is the number of requests in progress.
	active int
}

// New starts a server with the ID on a free loopback port.
func New(id string, behaviour Behaviour) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, address: listener.Addr().String(), behaviour: behaviour}
	// Discards the log, as the server would report each response dropped on purpose.
	s.http = &fasthttp.Server{
		Handler: s.handle, DisablePreParseMultipartForm: true, Logger: log.New(io.Discard, "", 0),
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Registration returns the JSON value that registers the server in the platform's store,
// under its ID as the key. The state is "ready" or "draining". The models are the models
// that the server has loaded, as JSON objects separated by commas; they are empty for a
// server without models.
func (s *Server) Registration(service, zone, state, models string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"coldRemainingMs":0,"seq":1,"models":[%s]}`,
		service, s.address, zone, state, models)
}

// SetBehaviour changes the behaviour for requests that arrive from now on. Requests in
// progress keep the earlier one.
func (s *Server) SetBehaviour(behaviour Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
}

// Runs returns every request that the server ran, including those in progress, in the order
// in which they began.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns every request that reached the server, in order.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Close shuts the server down after the requests in progress have completed.
func (s *Server) Close() { _ = s.http.Shutdown() }

// handle runs a request, unless it is for another server or the server refuses it.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	id := string(header.Peek("X-Attempt-Id"))
	ctx.Response.Header.Set("X-Attempt-Id", id)
	s.mu.Lock()
	behaviour := s.behaviour
	s.arrivals = append(s.arrivals, Arrival{id, time.Now(), behaviour})
	s.mu.Unlock()
	if behaviour.Leaving {
		ctx.Response.Header.Set("Server-Leaving", "1")
	}
	if string(header.Peek("X-Target-Instance")) != s.ID {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if behaviour.RefuseRequests {
		ctx.Response.Header.Set("X-Not-Executed", "1")
		if behaviour.RetryAfter != "" {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, behaviour.RetryAfter)
		}
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	deadlineMs, _ := strconv.Atoi(string(header.Peek("X-Deadline-Ms")))
	s.mu.Lock()
	s.active++
	s.runs = append(s.runs, Run{
		RequestID: id, Method: string(ctx.Method()), URI: string(header.RequestURI()), Body: string(ctx.Request.Body()),
		Workspace: string(header.Peek("X-Tenant")), LastEventID: string(header.Peek("Last-Event-Id")), DeadlineMs: deadlineMs,
		Headers: header.String(), StartedAt: time.Now(),
	})
	run := len(s.runs) - 1
	s.mu.Unlock()
	if behaviour.DropResponse {
		s.endRequest(run)
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set("X-Server-Seal", s.ID+"."+id)
	if strings.HasSuffix(string(ctx.Path()), "stream") {
		ctx.SetContentType("text/event-stream")
		lastEventID, _ := strconv.Atoi(string(header.Peek("Last-Event-Id")))
		conn := ctx.Conn()
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, conn, behaviour, run, lastEventID) })
		return
	}
	time.Sleep(behaviour.ResponseDelay)
	s.endRequest(run)
	if behaviour.Status != 0 {
		ctx.SetStatusCode(behaviour.Status)
	}
	if behaviour.ResponseBytes > 0 {
		ctx.SetBodyString(strings.Repeat("a", behaviour.ResponseBytes))
		return
	}
	ctx.SetBodyString("answer of " + s.ID)
}

// writeStream writes the events of a run after lastEventID, which is 0 for a new stream. It ends the
// stream after StreamEvents, or closes the connection where CutAfterEvents requires.
func (s *Server) writeStream(w *bufio.Writer, conn net.Conn, behaviour Behaviour, run, lastEventID int) {
	defer s.endRequest(run)
	for event := lastEventID + 1; event <= behaviour.StreamEvents; event++ {
		if behaviour.CutAfterEvents > 0 && event > behaviour.CutAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = w.Flush()
			_ = conn.Close()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", event, event); err != nil {
			return
		}
		if w.Flush() != nil {
			return
		}
		time.Sleep(behaviour.EventInterval)
	}
}

// endRequest records the end of the run with the index.
func (s *Server) endRequest(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.runs[run].EndedAt = time.Now()
}
