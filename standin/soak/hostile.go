package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold bounds the time for which a hostile caller keeps a connection open.
	maxHold = 3 * time.Second
	// reconnectPause is the pause of a hostile caller between two connections.
	reconnectPause = 20 * time.Millisecond
	// usageInterval is the time between two looks at what the processes hold.
	usageInterval = 100 * time.Millisecond
	// daemonMemoryMB and daemonDescriptors are the limits in the node files.
	daemonMemoryMB    = 200
	daemonDescriptors = 712
	// hostileBody is the size of large bodies, above the limit of the configuration of most runs.
	hostileBody = 1 << 20
	// hostileID is the ID of all hostile requests.
	hostileID = "hostile"
)

// hostileLoads return what a hostile caller writes after the start of a head, piece by piece. A
// connection then stays open without the rest.
var hostileLoads = []func(head string) []string{
	func(head string) []string { return []string{head[:len(head)/2]} },
	func(head string) []string { return strings.SplitAfter(head, " ") },
	func(head string) []string { return []string{head + "X-Filler: " + strings.Repeat("a", 3<<10)} },
	func(head string) []string {
		return []string{head + "Content-Length: 9000\r\n\r\n", strings.Repeat("a", 8900)}
	},
	func(head string) []string {
		return []string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n", hostileBody), strings.Repeat("a", hostileBody-100)}
	},
	func(head string) []string {
		return []string{head + "Expect: 100-continue\r\nContent-Length: 9000\r\n\r\n", strings.Repeat("a", 100)}
	},
	func(head string) []string {
		return append([]string{head + "Transfer-Encoding: chunked\r\n\r\n"}, repeated(fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("a", 32<<10)), 32)...)
	},
	func(head string) []string {
		return append([]string{head + "Transfer-Encoding: chunked\r\n\r\n"}, repeated(strings.Repeat("1\r\na\r\n", 1000), 9)...)
	},
	func(head string) []string {
		return append([]string{head + "Transfer-Encoding: chunked\r\n\r\n4;x="}, repeated(strings.Repeat("a", 32<<10), 32)...)
	},
	func(head string) []string {
		return append([]string{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n"}, repeated(strings.Repeat("X-T: a\r\n", 4<<10), 32)...)
	},
}

// repeated returns a piece a number of times.
func repeated(piece string, count int) []string {
	pieces := make([]string, count)
	for index := range pieces {
		pieces[index] = piece
	}
	return pieces
}

// hostileTarget is an address of a daemon with the start of a head for it.
type hostileTarget struct{ address, head string }

// hostileTargets returns the addresses of an entry.
func (e *entry) hostileTargets() []hostileTarget {
	callers := hostileTarget{e.callerAddress, "POST /book/hostile HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-0\r\nX-Attempt-Id: " + hostileID + "\r\n"}
	targets := []hostileTarget{callers, callers, callers}
	for _, control := range []struct{ address, path string }{
		{e.readinessAddress, "/fuchsiarouter/readiness"}, {e.directoryAddress, "/fuchsiarouter/resolve"}, {e.peerAddress, "/metrics"},
	} {
		targets = append(targets, hostileTarget{control.address, "GET " + control.path + " HTTP/1.1\r\nHost: h\r\n"})
	}
	return targets
}

// crowd is a number of hostile callers beside a run, with the checks of the processes that they use.
type crowd struct {
	// processes are those under test.
	processes []*process
	running   sync.WaitGroup
	stop      context.CancelFunc

	mu sync.Mutex
	// violations describes each process that exceeded a limit.
	violations []string
}

// startCrowd starts hostile callers, each of which sends loads to the targets in the order that its seed
// gives.
func startCrowd(ctx context.Context, seed uint64, size int, targets []hostileTarget, processes []*process) *crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &crowd{processes: processes, stop: cancel}
	for index := range size {
		rng := rand.New(rand.NewPCG(seed, 1<<32+uint64(index)))
		c.running.Go(func() {
			for sleep(ctx, reconnectPause) {
				target, load := targets[rng.IntN(len(targets))], hostileLoads[rng.IntN(len(hostileLoads))]
				useConnection(target, load(target.head), randomDuration(rng, 0, maxHold), randomDuration(rng, 0, 50*time.Millisecond))
			}
		})
	}
	if size > 0 {
		c.running.Go(func() {
			for sleep(ctx, usageInterval) {
				c.checkUsage()
			}
		})
	}
	return c
}

// useConnection writes pieces to a connection, with pauses, and keeps it open for the rest of a time.
func useConnection(target hostileTarget, pieces []string, hold, pause time.Duration) {
	conn, err := net.DialTimeout("tcp", target.address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hold))
	for _, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// residentLine is the line of the resident memory in the status of a process.
var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// checkUsage records the processes that exceed a limit.
func (c *crowd) checkUsage() {
	for _, p := range c.processes {
		pid := p.pid()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		match := residentLine.FindSubmatch(status)
		if pid == 0 || err != nil || match == nil {
			continue
		}
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		kilobytes, _ := strconv.Atoi(string(bytes.TrimSpace(match[1])))
		if kilobytes > daemonMemoryMB<<10 || len(descriptors) > daemonDescriptors {
			c.mu.Lock()
			c.violations = append(c.violations, fmt.Sprintf("%s has %d kB and %d descriptors", p.name, kilobytes, len(descriptors)))
			c.mu.Unlock()
		}
	}
}

// end stops the crowd and describes the processes that exceeded a limit or ended by themselves.
func (c *crowd) end() []string {
	c.stop()
	c.running.Wait()
	for _, p := range c.processes {
		if exits := p.ownExits(); exits > 0 {
			c.violations = append(c.violations, fmt.Sprintf("%s ended by itself %d times", p.name, exits))
		}
	}
	return c.violations
}
