package platformtest_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// endlessServer is a backend server that answers each request with a prefix and then with
// the same bytes until the connection is closed.
type endlessServer struct {
	id       string
	listener net.Listener
	// prefix is sent once; %s stands for the ID of the request. repeated follows without end.
	prefix, repeated string
	// interval is the pause between two writes, which then have a single byte.
	interval time.Duration
	// open holds the connections on which bytes are sent, with the time and the ID of the
	// request.
	open sync.Map
}

// newEndlessServer starts a server and registers it for a service.
func (f *testFleet) newEndlessServer(index int, service, prefix, repeated string, interval time.Duration) *endlessServer {
	s := startEndlessServer(f.t, index, prefix, repeated, interval)
	f.store.Put(keyedstore.TopicServers, s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"models":[{"name":"m","version":1}]}`,
		service, s.listener.Addr().String()))
	return s
}

// startEndlessServer starts a server that is not registered.
func startEndlessServer(t *testing.T, index int, prefix, repeated string, interval time.Duration) *endlessServer {
	// The ingresses of earlier tests still poll the addresses of their stores, so a port that
	// the kernel gives out again would receive their reads.
	listener, err := net.Listen("tcp", allocateAddress())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &endlessServer{id: fmt.Sprint("endless-", index), listener: listener, prefix: prefix, repeated: repeated, interval: interval}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers one request.
func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.open.Store(conn, time.Now().Format(time.RFC3339Nano)+" "+request.Header.Get("X-Attempt-Id"))
	defer s.open.Delete(conn)
	prefix := strings.ReplaceAll(s.prefix, "%s", request.Header.Get("X-Attempt-Id"))
	if _, err := conn.Write([]byte(prefix)); err != nil {
		return
	}
	block := []byte(s.repeated)
	if s.interval == 0 {
		block = []byte(strings.Repeat(s.repeated, 1+16<<10/len(s.repeated)))
	}
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
		time.Sleep(s.interval)
	}
}

// heapWatch records the growth of the heap while a test runs.
type heapWatch struct {
	stop chan struct{}
	done sync.WaitGroup
	// before and most are the size of the heap at the start and the largest one.
	before, most uint64
}

// watchHeap starts to record the heap.
func watchHeap() *heapWatch {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	w := &heapWatch{stop: make(chan struct{}), before: stats.HeapInuse, most: stats.HeapInuse}
	w.done.Go(func() {
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			w.most = max(w.most, stats.HeapInuse)
			select {
			case <-w.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	return w
}

// end stops recording and returns the growth in bytes.
func (w *heapWatch) end() uint64 {
	close(w.stop)
	w.done.Wait()
	return w.most - w.before
}

// maxEndlessHeap is the growth of the heap that an entry with 184 MB of memory, the smallest
// of a large deployment, can afford beside its runtime and its connections.
const maxEndlessHeap = 96 << 20

const (
	streamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
	plainHead  = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
)

// TestEndlessBytes guards against servers that send bytes that are no answer, without end,
// until the caller closes: the memory of the entry must not grow with them, each request
// must end by its deadline, the connections must be closed, and other requests must be
// served. 20 of 22 servers behave this way, fast or one byte at a time.
func TestEndlessBytes(t *testing.T) {
	const endlessServers = 20
	for _, test := range []struct {
		name, path, prefix, repeated string
		interval                     time.Duration
	}{
		{"no protocol", "/llm/x", "", "abc ", 0},
		{"status line", "/llm/x", "HTTP/1.1 200 ", "OK", 0},
		{"headers", "/llm/x", streamHead, "X-More: more\r\n", 0},
		{"informational responses", "/llm/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"event", "/llm/x", streamHead + "\r\nid: 1\ndata: ", "aaaa", 0},
		{"event after others", "/llm/x", streamHead + "\r\n" + streamBody(1, 2) + "data: ", "aaaa", 0},
		{"chunked event", "/llm/x", streamHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n", 0},
		{"chunk size", "/llm/x", streamHead + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		{"chunk extension", "/llm/x", streamHead + "Transfer-Encoding: chunked\r\n\r\n4", ";a=b", 0},
		{"trailers", "/llm/x", streamHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n", 0},
		{"slow headers", "/llm/x", streamHead, "X-More: more\r\n", 20 * time.Millisecond},
		{"slow event", "/llm/x", streamHead + "\r\ndata: ", "a", 20 * time.Millisecond},
		{"body", "/stock/x", plainHead + "\r\n", "aaaa", 0},
		{"body of a failure", "/stock/x", "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n\r\n", "aaaa", 0},
		{"chunked body", "/stock/x", plainHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := startFleet(t)
			service, method := "llm", "POST"
			if strings.HasPrefix(test.path, "/stock/") {
				service, method = "plain", "GET"
			}
			var servers []*endlessServer
			for index := range endlessServers {
				servers = append(servers, f.newEndlessServer(index, service, test.prefix, test.repeated, test.interval))
			}
			// The entry reads the registrations within half a second.
			time.Sleep(700 * time.Millisecond)
			watch := watchHeap()
			var callers sync.WaitGroup
			var served, slow atomic.Int64
			for range 2 * endlessServers {
				callers.Go(func() {
					began := time.Now()
					status, _, _, err := f.send(method, test.path, "k1", "")
					if err == nil && status == http.StatusOK {
						served.Add(1)
					}
					if time.Since(began) > 4*time.Second {
						slow.Add(1)
					}
				})
			}
			callers.Wait()
			heap := watch.end()
			t.Logf("%d of %d requests served, heap grew by %d MiB", served.Load(), 2*endlessServers, heap>>20)
			g.Expect(slow.Load()).To(gomega.BeZero(), "requests must end by their deadline of 3 s")
			g.Expect(heap).To(gomega.BeNumerically("<", maxEndlessHeap))
			g.Eventually(func() []string {
				var open []string
				for _, server := range servers {
					server.open.Range(func(_, request any) bool {
						open = append(open, server.id+" "+request.(string))
						return true
					})
				}
				return open
			}, waitTimeout).Should(gomega.BeEmpty(), "connections must be closed")
			status, body, _, err := f.send("GET", "/stock/other", "k1", "")
			if service == "plain" {
				status, body, _, err = f.send("POST", "/llm/other", "k1", "")
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK), body)
		})
	}
}

// TestEventByteByByte guards against requests that wait until their deadline at a server that
// sends an event byte by byte and never ends it: the server must be found stalled, and its
// requests must be served by others.
func TestEventByteByByte(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for index := range 2 {
		f.newEndlessServer(index, "llm", streamHead+"\r\ndata: ", "a", 20*time.Millisecond)
	}
	// The entry reads the registrations within half a second.
	time.Sleep(700 * time.Millisecond)
	var callers sync.WaitGroup
	var served atomic.Int64
	for range 8 {
		callers.Go(func() {
			if status, _, _, err := f.send("POST", "/llm/x", "k1", ""); err == nil && status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	g.Expect(served.Load()).To(gomega.BeEquivalentTo(8))
}
