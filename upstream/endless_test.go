package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

// serveEndlessly answers each request on the listener with the prefix, and then with the same
// bytes until the connection is closed.
func serveEndlessly(listener net.Listener, prefix, repeated string) {
	block := []byte(strings.Repeat(repeated, 1+16<<10/len(repeated)))
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, err := io.WriteString(conn, prefix)
			for err == nil {
				_, err = conn.Write(block)
			}
		}()
	}
}

// TestEndlessBytes guards against a server that sends bytes that are no answer, without end, until
// the memory of its client is used up. A health check reads the whole answer; a request is
// answered with a stream, of which only the head is read here.
func TestEndlessBytes(t *testing.T) {
	const (
		maxHeapGrowth = 64 << 20
		requests      = 8
	)
	for _, example := range []struct{ name, prefix, repeated string }{
		{"no protocol", "", "abc "},
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "aaaa"},
		{"body of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", "aaaa"},
		{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
	} {
		t.Run(example.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			go serveEndlessly(listener, example.prefix, example.repeated)
			client := upstream.New(nil)
			debug.FreeOSMemory()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			done := make(chan struct{}, 2*requests)
			for range requests {
				go func() {
					client.CheckHealth(listener.Addr().String(), time.Second)
					done <- struct{}{}
				}()
				go func() {
					request := &fasthttp.Request{}
					request.SetRequestURI(fmt.Sprintf("http://%s/x", listener.Addr()))
					if response, err := client.Do(request); err == nil {
						time.Sleep(500 * time.Millisecond)
						_ = response.Body.Close()
					}
					done <- struct{}{}
				}()
			}
			most := before.HeapInuse
			for ended := 0; ended < 2*requests; {
				select {
				case <-done:
					ended++
				case <-time.After(10 * time.Millisecond):
				}
				runtime.ReadMemStats(&after)
				most = max(most, after.HeapInuse)
			}
			t.Logf("heap grew by %d MiB in %v", (most-before.HeapInuse)>>20, time.Since(began))
			g.Expect(most - before.HeapInuse).To(gomega.BeNumerically("<", maxHeapGrowth))
		})
	}
}
