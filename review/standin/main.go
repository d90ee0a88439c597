// Command standin plays one case of the review: it starts the entries of the project as
// processes, with a store, workers and clients of its own, on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether its rule held.
var cases = map[string]func(context.Context, *deployment, bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), 118*time.Second)
	defer cancel()
	d, err := newDeployment(r)
	if err != nil {
		r.write("could not run: %v", err)
		return 2
	}
	defer d.close()
	held, err := cases[name](ctx, d, trouble)
	switch {
	case err != nil:
		r.write("could not run: %v", err)
		return 2
	case !held:
		r.write("the rule was broken")
		return 1
	}
	r.write("the rule held")
	return 0
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  "+format, append([]any{time.Since(r.started).Seconds()}, arguments...)...)
	_, _ = fmt.Fprintln(r.file, line)
}

func (r *record) close() { _ = r.file.Close() }

// deployment is a store with the entries that were started.
type deployment struct {
	record  *record
	store   *store
	dir     string
	entries []*entry
}

// entry is a running process of the role ingress.
type entry struct {
	name, address, readiness string
	process                  *exec.Cmd
}

func newDeployment(r *record) (*deployment, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	return &deployment{record: r, store: s, dir: dir}, err
}

// close ends the processes that were started.
func (d *deployment) close() {
	for _, e := range d.entries {
		_ = e.process.Process.Kill()
		_ = e.process.Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// settingsFormat holds the settings of an entry, with the bounds of the small deployments.
const settingsFormat = `{"nodeName":%q,"role":"ingress","machineClass":"front","serves":["front","directory"],"ip":%q,
 "zone":"z","region":"r","zones":{"z":"r"},
 "listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%d,%d],"seeds":[],"bootstrap":true,
 "limits":{"cpuShare":0.4,"cores":1,"memoryMb":284,"maxFds":4200,"linkMbps":1000.0,"diskMb":0},"dataDir":null,
 "discovery":"platform","entry":"directory","heartbeatMs":1200,
 "bounds":{"seedLagS":3,"addrReuseS":2,"stableMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
  "configApplyMs":2000,"downgradeMs":250,"maxStretchMs":5000,"strictRevoke":true,"revokeMs":5000,"budgetRatio":0.2,
  "budgetWindowS":10,"budgetSlack":100,"recoveryS":12,"passMs":120,"retryAfterS":0,"version_ms":8000,"version_all_ms":0,"ttl_max_s":5},
 "platform":{"address":%q,"form":"log","writesPerS":400,"readsPerS":2000}}`

// startEntries starts a number of entries with the command of deploy/system.toml, in the root
// of the repository, and waits until all are ready.
func (d *deployment) startEntries(ctx context.Context, count int) error {
	for i := range count {
		ip := fmt.Sprintf("127.0.77.%d", i+1)
		var addresses [4]string
		for k := range addresses {
			address, err := freeAddress(ip)
			if err != nil {
				return err
			}
			addresses[k] = address
		}
		_, portText, err := net.SplitHostPort(addresses[3])
		if err != nil {
			return err
		}
		port, err := strconv.Atoi(portText)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("front-%d", i+1)
		settings := filepath.Join(d.dir, name+".json")
		content := fmt.Sprintf(settingsFormat, name, ip, addresses[0], addresses[1], addresses[2], port, port+15, d.store.address)
		if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
			return err
		}
		command := exec.Command("target/fuchsiarouterd", "ingress")
		command.Env = append(os.Environ(), "FUCHSIAROUTER_NODE_FILE="+settings)
		if log := os.Getenv("ENTRY_LOG"); log != "" {
			file, err := os.Create(log + "." + name)
			if err != nil {
				return err
			}
			command.Stdout, command.Stderr = file, file
		}
		// The kernel kills the entry if this process is killed.
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return err
		}
		d.entries = append(d.entries, &entry{name: name, address: addresses[0], readiness: addresses[1], process: command})
	}
	for _, e := range d.entries {
		for !e.isReady() {
			if ctx.Err() != nil || time.Since(d.record.started) > 20*time.Second {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Entries learn of each other by messages within a second.
	time.Sleep(1500 * time.Millisecond)
	d.record.write("%d entries are ready", count)
	return nil
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.readiness + "/fuchsiarouter/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lowestPort and highestPort bound the ports that freeAddress draws. They are below the range
// from which the kernel gives ports to outgoing connections.
const (
	lowestPort  = 12000
	highestPort = 31000
)

// freeAddress returns an address on a loopback IP address whose port is free for TCP and UDP.
func freeAddress(ip string) (string, error) {
	var last error
	for range 100 {
		address := net.JoinHostPort(ip, strconv.Itoa(lowestPort+rand.IntN(highestPort-lowestPort)))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			last = err
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err != nil {
			last = err
			continue
		}
		_ = packets.Close()
		return address, nil
	}
	return "", last
}

// serveHTTP serves a handler on a free loopback address.
func serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}
