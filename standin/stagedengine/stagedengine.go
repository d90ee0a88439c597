// Package stagedengine is a stand-in of a backend server of the users' platform. It
// answers plain requests, and streams of events on paths that end with "stream". It
// records every request that it ran.
package stagedengine

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

// Behaviour is what a server does with requests.
type Behaviour struct {
	// Events is the number of events of a stream, Pause the time between two.
	Events int
	Pause  time.Duration
	// CutAfter breaks streams off after so many events, 0 for never.
	CutAfter int
	// Refuse answers that the request was not run.
	Refuse bool
	// LoseAnswer runs a request and closes the connection.
	LoseAnswer bool
	// Status is the status of plain answers, 200 by default.
	Status int
	// Hold is the time before a plain answer.
	Hold time.Duration
}

// Run is a request that the server ran.
type Run struct {
	ID, Method, URI, Body, Workspace, LastEvent string
	Wait                                        int
	Headers                                     string
}

// Server is a running stand-in.
type Server struct {
	ID      string
	address string
	http    *fasthttp.Server

	mu        sync.Mutex
	behaviour Behaviour
	runs      []Run
	active    int
}

// New starts a stand-in with an id on the loopback.
func New(id string, behaviour Behaviour) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, address: listener.Addr().String(), behaviour: behaviour}
	// Answers are lost on purpose; the server would report each.
	s.http = &fasthttp.Server{
		Handler: s.handle, DisablePreParseMultipartForm: true, Logger: log.New(io.Discard, "", 0),
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Entry returns the server's entry in the store.
func (s *Server) Entry(service, zone, state, models string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"coldRemainingMs":0,"seq":1,"models":[%s]}`,
		service, s.address, zone, state, models)
}

// Set changes what the server does.
func (s *Server) Set(behaviour Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
}

// Runs returns what the server ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Active is the number of requests in progress.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Close ends the server.
func (s *Server) Close() { _ = s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	id := string(header.Peek("X-Attempt-Id"))
	ctx.Response.Header.Set("X-Attempt-Id", id)
	s.mu.Lock()
	does := s.behaviour
	s.mu.Unlock()
	if string(header.Peek("X-Target-Instance")) != s.ID {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if does.Refuse {
		ctx.Response.Header.Set("X-Not-Executed", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	wait, _ := strconv.Atoi(string(header.Peek("X-Deadline-Ms")))
	s.mu.Lock()
	s.active++
	s.runs = append(s.runs, Run{
		ID: id, Method: string(ctx.Method()), URI: string(header.RequestURI()), Body: string(ctx.Request.Body()),
		Workspace: string(header.Peek("X-Tenant")), LastEvent: string(header.Peek("Last-Event-Id")), Wait: wait,
		Headers: header.String(),
	})
	s.mu.Unlock()
	if does.LoseAnswer {
		s.end()
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set("X-Server-Seal", s.ID+"."+id)
	if strings.HasSuffix(string(ctx.Path()), "stream") {
		ctx.SetContentType("text/event-stream")
		first, _ := strconv.Atoi(string(header.Peek("Last-Event-Id")))
		conn := ctx.Conn()
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, conn, does, first) })
		return
	}
	time.Sleep(does.Hold)
	s.end()
	if does.Status != 0 {
		ctx.SetStatusCode(does.Status)
	}
	ctx.SetBodyString("answer of " + s.ID)
}

func (s *Server) stream(w *bufio.Writer, conn net.Conn, does Behaviour, first int) {
	defer s.end()
	for event := first + 1; event <= does.Events; event++ {
		if does.CutAfter > 0 && event > does.CutAfter {
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
		time.Sleep(does.Pause)
	}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
