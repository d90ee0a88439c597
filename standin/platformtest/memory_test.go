package platformtest_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

const (
	// memoryLimitMB and descriptorLimit are limits.memoryMb and limits.maxFds of the entry's
	// settings, and memoryBodyLimit is limits.maxBodyBytes of the configuration. The platform kills
	// a process that exceeds its memory.
	memoryLimitMB   = 128
	descriptorLimit = 512
	memoryBodyLimit = 4 << 20
	// hostileCallers is the number of callers of a load, which lasts for hostileTime. All of their
	// bodies together have 192 MiB at the limit of the configuration.
	hostileCallers = 48
	hostileTime    = 8 * time.Second
	// reconnectPause is the pause of a caller whose connection was closed.
	reconnectPause = 20 * time.Millisecond
	// bytesMissing is the number of bytes that a body which stops short lacks.
	bytesMissing = 100
	// endlessBytes is the length at which a chunked body without an end stops, 3.9 MiB.
	endlessBytes = 39 << 20 / 10
	// excessiveBytes is how much of a body above the limit is sent, announcedBytes the length that
	// it announces.
	excessiveBytes = 20 << 20
	announcedBytes = 64 << 20
)

// memoryNodeFileFormat is the settings file of an entry.
const memoryNodeFileFormat = `{"nodeName":"e","ip":%q,"zone":"z","region":"r","zones":{"z":"r"},
 "listen":{"front":%q,"readiness":%q},"internalPorts":[%s,%s],
 "limits":{"memoryMb":%d,"maxFds":%d,"cpuShare":1,"cores":1,"linkMbps":1000},
 "bounds":{"revokeMs":5000,"graceS":3,"version_ms":8000,"budgetRatio":0.2,"budgetSlack":100,"budgetWindowS":10},
 "platform":{"address":%q}}`

// buildDaemon builds the daemon and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	directory := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", directory+string(filepath.Separator), "./cmd/fuchsiarouterd")
	build.Dir = "../.."
	output, err := build.CombinedOutput()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred(), "%s", output)
	return filepath.Join(directory, "fuchsiarouterd")
}

// entryProcess is an ingress that runs as a process of its own, with the store and the servers of
// a testFleet.
type entryProcess struct {
	*testFleet
	command *exec.Cmd
	exited  chan struct{}
	// log is the output of the process. It is complete once exited is closed.
	log bytes.Buffer
}

// startEntryProcess starts an entry with the limits above, and two servers of each service.
func startEntryProcess(t *testing.T) *entryProcess {
	if testing.Short() {
		t.Skip("the test starts a process and fills its memory")
	}
	g := gomega.NewWithT(t)
	binary := buildDaemon(t)
	store, err := keyedstore.New(allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	p := &entryProcess{
		testFleet: &testFleet{
			t: t, store: store, callerAddress: allocateAddress(), readinessAddress: allocateAddress(), peerAddress: allocateAddress(),
			client: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		},
		exited: make(chan struct{}),
	}
	store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(strings.Replace(configurationFormat,
		`"maxBodyBytes":10000`, fmt.Sprintf(`"maxBodyBytes":%d`, memoryBodyLimit), 1), 1, `"k1"`))
	for i := range 2 {
		llm, err := backendserver.New(fmt.Sprint("e", i), backendserver.Behaviour{StreamEvents: 5, EventInterval: 5 * time.Millisecond})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		plain, err := backendserver.New(fmt.Sprint("p", i), backendserver.Behaviour{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		p.llmServers, p.plainServers = append(p.llmServers, llm), append(p.plainServers, plain)
		store.Put(keyedstore.TopicServers, llm.ID, llm.Registration("llm", "z", "ready", `{"name":"m","version":1}`))
		store.Put(keyedstore.TopicServers, plain.ID, plain.Registration("plain", "z", "ready", ""))
	}
	ip, port, err := net.SplitHostPort(p.peerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	nodeFile := filepath.Join(t.TempDir(), "node.json")
	settings := fmt.Sprintf(memoryNodeFileFormat, ip, p.callerAddress, p.readinessAddress, port, port, memoryLimitMB, descriptorLimit, store.Address())
	g.Expect(os.WriteFile(nodeFile, []byte(settings), 0o600)).To(gomega.Succeed())
	p.command = exec.Command(binary, "ingress", "--node-file", nodeFile)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	// The kernel kills the entry if this process is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.Expect(p.command.Start()).To(gomega.Succeed())
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			log := p.log.Bytes()
			t.Logf("end of the log of the entry:\n%s", log[max(0, len(log)-4000):])
		}
	})
	g.Eventually(p.isReady, waitTimeout).Should(gomega.BeTrue())
	return p
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *entryProcess) peakMemory(g *gomega.WithT) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	g.Expect(match).To(gomega.HaveLen(2), "%s", status)
	kilobytes, err := strconv.Atoi(string(match[1]))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return kilobytes << 10
}

// openDescriptors returns the number of open descriptors of the process.
func (p *entryProcess) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

// run lets the callers send for hostileTime, the one with the number n by send(n), and then checks
// that the process has stayed within its limits, lives, and answers an ordinary request.
func (p *entryProcess) run(send func(number int, conn net.Conn)) {
	g := gomega.NewWithT(p.t)
	end := time.Now().Add(hostileTime)
	var callers sync.WaitGroup
	for number := range hostileCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", p.callerAddress)
				if err == nil {
					_ = conn.SetDeadline(end)
					send(number, conn)
					// Stays open until the entry closes the connection.
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
				time.Sleep(reconnectPause)
			}
		})
	}
	descriptors := 0
	for time.Now().Before(end) {
		descriptors = max(descriptors, p.openDescriptors())
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	p.expectWithinLimits(descriptors)
	g.Eventually(func() int {
		status, _, _, _ := p.send("POST", "/book/ordinary", "k1", "an ordinary body")
		return status
	}, waitTimeout).Should(gomega.Equal(http.StatusOK))
	g.Expect(p.exited).NotTo(gomega.BeClosed())
}

// expectWithinLimits checks that the process lives and has stayed within its limits, given the
// largest number of descriptors.
func (p *entryProcess) expectWithinLimits(descriptors int) {
	g := gomega.NewWithT(p.t)
	g.Expect(p.exited).NotTo(gomega.BeClosed())
	peak := p.peakMemory(g)
	p.t.Logf("peak memory %d MiB, %d descriptors", peak>>20, descriptors)
	g.Expect(peak).To(gomega.BeNumerically("<", memoryLimitMB<<20))
	g.Expect(descriptors).To(gomega.BeNumerically("<", descriptorLimit))
}

// hostileHead returns the head of a request with the header line that frames its body.
func hostileHead(framing string) string {
	return fmt.Sprintf("POST /book/hostile HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: %x\r\n%s\r\n\r\n",
		time.Now().UnixNano(), framing)
}

// sendChunks sends chunks of a size until the body has a length, in writes of at least 64 KiB.
func sendChunks(conn net.Conn, size, length int) {
	if _, err := io.WriteString(conn, hostileHead("Transfer-Encoding: chunked")); err != nil {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size))
	perWrite := max(1, 64<<10/len(chunk))
	block := []byte(strings.Repeat(chunk, perWrite))
	for sent := 0; sent < length; sent += size * perWrite {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// sendBytes announces a length and sends a part of it in pieces, with a pause after each.
func sendBytes(conn net.Conn, announced, sent, piece int, pause time.Duration) {
	if _, err := io.WriteString(conn, hostileHead(fmt.Sprint("Content-Length: ", announced))); err != nil {
		return
	}
	block := bytes.Repeat([]byte("a"), piece)
	for sent > 0 {
		n, err := conn.Write(block[:min(piece, sent)])
		if err != nil {
			return
		}
		sent -= n
		time.Sleep(pause)
	}
}

// hostileLoads are the ways in which hostile callers send a body that never ends.
var hostileLoads = []struct {
	name string
	send func(conn net.Conn)
}{
	{"large chunks without an end", func(conn net.Conn) { sendChunks(conn, 256<<10, endlessBytes) }},
	{"chunks of one byte without an end", func(conn net.Conn) { sendChunks(conn, 1, endlessBytes) }},
	{"body above the limit, announced", func(conn net.Conn) { sendBytes(conn, announcedBytes, excessiveBytes, 256<<10, 0) }},
	{"body above the limit, in chunks", func(conn net.Conn) { sendChunks(conn, 256<<10, excessiveBytes) }},
	{"legal body that stops short", func(conn net.Conn) {
		sendBytes(conn, memoryBodyLimit, memoryBodyLimit-bytesMissing, memoryBodyLimit, 0)
	}},
	{"legal body that stops short, piece by piece", func(conn net.Conn) {
		sendBytes(conn, memoryBodyLimit, memoryBodyLimit-bytesMissing, 32<<10, time.Millisecond)
	}},
}

// TestMemoryUnderHostileBodies guards against an entry that exceeds its memory, and is killed, or
// stops answering, because many callers send bodies that are too large or do not end.
func TestMemoryUnderHostileBodies(t *testing.T) {
	for _, load := range hostileLoads {
		t.Run(load.name, func(t *testing.T) {
			startEntryProcess(t).run(func(_ int, conn net.Conn) { load.send(conn) })
		})
	}
	t.Run("all together", func(t *testing.T) {
		startEntryProcess(t).run(func(number int, conn net.Conn) { hostileLoads[number%len(hostileLoads)].send(conn) })
	})
}

// TestSlowLegalBodyIsServed guards against refusing a body at the limit of the configuration, sent
// slowly, while there is no other load.
func TestSlowLegalBodyIsServed(t *testing.T) {
	for _, framing := range []string{"length", "chunked"} {
		t.Run(framing, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := startEntryProcess(t)
			conn, err := net.Dial("tcp", p.callerAddress)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
			const pieces, piece = 64, memoryBodyLimit / 64
			if framing == "length" {
				// 64 pieces of 64 KiB take 6.4 s.
				sendBytes(conn, memoryBodyLimit, memoryBodyLimit, piece, 100*time.Millisecond)
			} else {
				_, err = io.WriteString(conn, hostileHead("Transfer-Encoding: chunked"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				for range pieces {
					_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", piece, strings.Repeat("a", piece))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					time.Sleep(100 * time.Millisecond)
				}
				_, err = io.WriteString(conn, "0\r\n\r\n")
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
			runs := p.allRuns(p.plainServers)
			g.Expect(runs).To(gomega.HaveLen(1))
			g.Expect(runs[0].Body).To(gomega.HaveLen(memoryBodyLimit))
		})
	}
}

// largeResponseBytes is the size of the responses that slow readers request.
const largeResponseBytes = 7 << 20

// TestMemoryWithSlowReaders guards against an entry that exceeds its memory because many callers do
// not read their responses.
func TestMemoryWithSlowReaders(t *testing.T) {
	p := startEntryProcess(t)
	p.removeServers(p.plainServers)
	p.newScriptedServer("s0", "plain", func(request *http.Request) string {
		size := 4
		if strings.HasSuffix(request.URL.Path, "/large") {
			size = largeResponseBytes
		}
		return frame(request, "length", "200 OK", strings.Repeat("a", size))
	})
	awaitRegistrations()
	end := time.Now().Add(hostileTime)
	p.run(func(_ int, conn net.Conn) {
		// The buffers of the sockets hold less than the response.
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		_, _ = fmt.Fprintf(conn, "GET /report/large HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: %x\r\n\r\n",
			time.Now().UnixNano())
		// A caller that was refused asks again. Another one reads nothing but the beginning.
		beginning := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(conn, beginning); err == nil && string(beginning) == "HTTP/1.1 200" {
			time.Sleep(time.Until(end))
		}
		_ = conn.Close()
	})
}

// TestOrdinaryBodiesBesideHostileOnes guards against a process that no longer answers ordinary
// callers, or that runs requests whose bodies did not end, while large bodies fill its memory.
func TestOrdinaryBodiesBesideHostileOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startEntryProcess(t)
	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	served, asked := 0, 0
	ordinary.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			asked++
			if status, _, _, err := p.send("POST", "/book/ordinary", "k1", strings.Repeat("b", 4<<10)); err == nil && status == http.StatusOK {
				served++
			}
		}
	})
	p.run(func(number int, conn net.Conn) { hostileLoads[number%len(hostileLoads)].send(conn) })
	close(stop)
	ordinary.Wait()
	t.Logf("%d of %d ordinary requests served", served, asked)
	g.Expect(served).To(gomega.BeNumerically(">", 0))
	for _, run := range p.allRuns(p.plainServers) {
		g.Expect(run.URI).NotTo(gomega.ContainSubstring("hostile"))
	}
}

// TestRefusalForMemory guards against dropping a body without telling its caller that the request did
// not run, and against running it.
func TestRefusalForMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startEntryProcess(t)
	// All bodies together have 64 MiB, more than the 51 MiB of the budget.
	const bodies = 16
	refusals := make(chan *http.Response, bodies)
	for range bodies {
		conn := p.dialEntry(g)
		go func() {
			sendBytes(conn, memoryBodyLimit, memoryBodyLimit-bytesMissing, memoryBodyLimit, 0)
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = response.Body.Close()
				refusals <- response
			}
		}()
	}
	var response *http.Response
	g.Eventually(refusals, waitTimeout).Should(gomega.Receive(&response))
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Fuchsiarouter-Result")).To(gomega.Equal("2014 memory-short"))
	g.Expect(response.Header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("no"))
	g.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(response.Close).To(gomega.BeTrue())
	g.Expect(p.allRuns(p.plainServers)).To(gomega.BeEmpty())
}
