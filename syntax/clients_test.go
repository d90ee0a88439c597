package syntax_test

import (
	"bufio"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/explanation"
	"github.com/fuchsiarouter/fuchsiarouter/relay"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
)

// TestClientsCheckResponses guards against a client of fasthttp, or a reader of response heads, that
// does not reject malformed responses.
func TestClientsCheckResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	clients := 0
	// readers are the directories of readers of heads, buffers and checked the numbers of their buffers.
	readers, buffers, checked := map[string]bool{}, map[string]int{}, map[string]int{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "standin" || entry.Name() == "review" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		source := string(content)
		found := 0
		for _, client := range []string{"http.Client{", "http.HostClient{"} {
			found += strings.Count(source, client) - strings.Count(source, "*"+client)
		}
		clients += found
		g.Expect(strings.Count(source, "syntax.NewConn(")).To(gomega.BeNumerically(">=", found), path)
		for _, shared := range []string{"fasthttp.Do", "fasthttp.Get", "fasthttp.Post", "http.DefaultClient", "http.ReadResponse("} {
			g.Expect(source).NotTo(gomega.ContainSubstring(shared), path)
		}
		directory := filepath.Dir(path)
		readers[directory] = readers[directory] || strings.Contains(source, "Header.Read(")
		buffers[directory] += strings.Count(source, "bufio.NewReader")
		checked[directory] += strings.Count(source, "bufio.NewReaderSize(syntax.NewReader(")
		return nil
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(clients).To(gomega.BeNumerically(">", 5))
	g.Expect(readers).To(gomega.HaveKeyWithValue(filepath.Join("..", "exchange"), true))
	for directory, reads := range readers {
		if reads {
			g.Expect(checked[directory]).To(gomega.BeNumerically(">", 0), directory)
			g.Expect(checked[directory]).To(gomega.Equal(buffers[directory]), directory)
		}
	}
}

// TestClientsOfEntries guards against clients of entries that believe a malformed response.
func TestClientsOfEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}")
			}
			_ = conn.Close()
		}
	}()
	address := listener.Addr().String()
	_, err = relay.NewClient(address, relay.NewHTTPClient()).ReadNewest(fuchsiarouter.TopicOperator)
	g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid))
	_, err = explanation.Fetch(address, explanation.Query{Host: "h.example", Path: "/"}, time.Second)
	g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid))
}
