package platformtest_test

import (
	"bufio"
	"context"
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

// deadlyPart is the part of a prompt that crashes a crashingServer.
const deadlyPart = "bad"

// crashDuration is the time for which a crashed server refuses connections.
const crashDuration = 500 * time.Millisecond

// stableTime is the time after which all entries must have noticed a change, stableMs on the
// platform's pages.
const stableTime = 3 * time.Second

// crashingServer is a backend server that crashes when it begins to answer a request whose
// prompt has the deadly part, and is back after crashDuration under a new ID.
type crashingServer struct {
	fleet   *testFleet
	name    string
	address string
	// extraDelay is added to the time before the answer to a deadly request.
	extraDelay time.Duration
	// crashes and deadlyRequests count over all crashing servers of a test.
	crashes, deadlyRequests *atomic.Int32

	mu       sync.Mutex
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
}

// start listens and registers the server under a new ID.
func (s *crashingServer) start() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.fleet.t.Error(err)
		return
	}
	s.mu.Lock()
	s.listener, s.conns = listener, map[net.Conn]bool{}
	s.starts++
	id := fmt.Sprintf("%s-%d", s.name, s.starts)
	s.mu.Unlock()
	s.fleet.store.Put(keyedstore.TopicServers, fmt.Sprintf("%s-%d", s.name, s.starts-1), "")
	s.fleet.store.Put(keyedstore.TopicServers, id, fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"models":[{"name":"m","version":1}]}`, s.address))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			isRunning := s.listener == listener
			if isRunning {
				s.conns[conn] = true
			}
			s.mu.Unlock()
			if !isRunning {
				_ = conn.Close()
				return
			}
			go s.serve(conn, listener)
		}
	}()
}

// crash closes the listener and all connections, and starts the server again later.
func (s *crashingServer) crash(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener {
		return
	}
	s.crashes.Add(1)
	_ = listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.listener = nil
	time.AfterFunc(crashDuration, s.start)
}

// serve answers the requests of a connection that the listener has accepted.
func (s *crashingServer) serve(conn net.Conn, listener net.Listener) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		isDeadly := strings.Contains(request.Header.Get("X-Prompt-Prefix"), deadlyPart+":")
		if isDeadly {
			s.deadlyRequests.Add(1)
			time.Sleep(s.extraDelay)
		}
		time.Sleep(60 * time.Millisecond)
		text := frame(request, "chunked", "200 OK", streamBody(1, 5))
		if isDeadly {
			head, _, _ := strings.Cut(text, "\r\n\r\n")
			_, _ = io.WriteString(conn, head+"\r\n\r\n")
			s.crash(listener)
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// sendPrompt sends a request with the parts of its prompt, the last of which is its body, to an
// ingress and reports whether its stream was served whole.
func (f *testFleet) sendPrompt(ctx context.Context, address string, parts ...string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/llm/stream", strings.NewReader(parts[len(parts)-1]))
	if err != nil {
		return false
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%x", time.Now().UnixNano()))
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Prompt-Prefix", strings.Join(parts, ":40,")+":40")
	request.Header.Set("Authorization", "Bearer k1")
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == streamBody(1, 5)
}

// TestDeadlyPromptPartIsRefused guards against requests that crash one server after the other
// since no two of them are alike but for one part of their prompts, and against refusing the
// sound requests that share their caller and first part. They come at two entries.
func TestDeadlyPromptPartIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	second := allocateAddress()
	f.newIngress("e2", second, allocateAddress(), allocateAddress())
	f.removeServers(f.llmServers)
	var crashes, deadlyRequests, soundRequests, served atomic.Int32
	for index := range 6 {
		server := &crashingServer{fleet: f, name: fmt.Sprint("c", index), address: allocateAddress(), crashes: &crashes, deadlyRequests: &deadlyRequests}
		server.start()
	}
	awaitRegistrations()
	ctx, cancel := context.WithCancel(t.Context())
	var load sync.WaitGroup
	// Sends one request in each interval until the end of the test.
	send := func(interval time.Duration, run func(number int, address string)) {
		load.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				load.Go(func() { run(number, []string{f.callerAddress, second}[number%2]) })
				time.Sleep(interval)
			}
		})
	}
	send(20*time.Millisecond, func(number int, address string) {
		soundRequests.Add(1)
		if f.sendPrompt(ctx, address, fmt.Sprint("first-", number/2%5), fmt.Sprint("sound-", number)) {
			served.Add(1)
		}
	})
	time.Sleep(500 * time.Millisecond)
	send(150*time.Millisecond, func(number int, address string) {
		f.sendPrompt(ctx, address, "first-0", deadlyPart, fmt.Sprint("deadly-", number))
	})
	// An entry that finds the part earlier prevents the fifth crash.
	for end := time.Now().Add(stableTime); crashes.Load() < 5 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(stableTime)
	deadlyBefore, soundBefore, servedBefore := deadlyRequests.Load(), soundRequests.Load(), served.Load()
	time.Sleep(2 * time.Second)
	deadly, sound, soundServed := deadlyRequests.Load()-deadlyBefore, soundRequests.Load()-soundBefore, served.Load()-servedBefore
	cancel()
	load.Wait()
	t.Logf("%d crashes; late: %d deadly requests at servers, %d of %d sound ones served", crashes.Load(), deadly, soundServed, sound)
	g.Expect(deadly).To(gomega.BeNumerically("<=", 3))
	g.Expect(soundServed * 2).To(gomega.BeNumerically(">", sound))
}

// TestQueuedRequestIsNotSentAfterItsRefusal guards against sending a request that waited in the
// queue of the entry while others with the same content crashed servers. The servers crash one
// after the other, and the first is back when the third crashes.
func TestQueuedRequestIsNotSentAfterItsRefusal(t *testing.T) {
	const servers, slots, requests = 4, 4, 60
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	var crashes, deadlyRequests atomic.Int32
	for index := range servers {
		server := &crashingServer{
			fleet: f, name: fmt.Sprint("c", index), address: allocateAddress(), extraDelay: time.Duration(index) * 300 * time.Millisecond,
			crashes: &crashes, deadlyRequests: &deadlyRequests,
		}
		server.start()
	}
	awaitRegistrations()
	var load sync.WaitGroup
	for range requests {
		load.Go(func() { f.sendPrompt(t.Context(), f.callerAddress, deadlyPart, "same") })
	}
	load.Wait()
	t.Logf("%d crashes, %d requests at servers", crashes.Load(), deadlyRequests.Load())
	g.Expect(deadlyRequests.Load()).To(gomega.BeNumerically("<=", servers*slots))
}
