package soak

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
)

// entry is an entry that is started as a process, possibly several times in a run. It
// connects to the store through a proxy that can inject connection faults.
type entry struct {
	process
	// callerAddress, readinessAddress, directoryAddress and peerAddress are the addresses at which
	// the entry receives requests of callers, readiness checks, and requests for the directory and of
	// other daemons.
	callerAddress    string
	readinessAddress string
	directoryAddress string
	peerAddress      string
	// storeLink is the proxy in front of the store.
	storeLink *link.Link
	// disturbances are the starts of the entry and the signals to it.
	disturbances disturbances
}

// nodeFileFormat is the node file of an entry: the settings that the platform gives a daemon
// for its VM. Its formatting verbs stand for the entry's name, its IP address, the addresses
// for callers, readiness checks and the directory, which is the list of entries for callers,
// the first and last port for traffic between entries, the memory in MB and the descriptors, the
// grace period in seconds, and the address of the store.
const nodeFileFormat = `{"nodeName":%q,"ip":%q,"zone":"z","region":"r","zones":{"z":"r"},
 "listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%d,%d],
 "limits":{"memoryMb":%d,"maxFds":%d,"linkMbps":100},
 "bounds":{"revokeMs":5000,"graceS":%v,"version_ms":8000,"budgetRatio":0.2,"budgetSlack":100,"budgetWindowS":10,"ttl_max_s":5},
 "platform":{"address":%q}}`

// newEntry prepares an entry without starting it: it chooses ports on an IP address
// that only this entry uses, starts the proxy to the store, and writes the node file.
func (f *fleet) newEntry(index int) (*entry, error) {
	addresses := make([]string, 4)
	port := 0
	for i := range addresses {
		port = nextPort()
		addresses[i] = vmAddress(index, port)
	}
	storeLink, address, err := f.startProxy(f.store.Address())
	if err != nil {
		return nil, err
	}
	e := &entry{
		process:       process{name: fmt.Sprintf("entry-%d", index), binary: f.settings.Binary, command: "ingress"},
		callerAddress: addresses[0], readinessAddress: addresses[1], directoryAddress: addresses[2], peerAddress: addresses[3],
		storeLink: storeLink,
	}
	e.logFile = filepath.Join(f.settings.WorkDir, e.name+".log")
	e.nodeFile, err = f.writeFile(e.name+".json",
		fmt.Appendf(nil, nodeFileFormat, e.name, vmIP(index), addresses[0], addresses[1], addresses[2], port, port, daemonMemoryMB, daemonDescriptors, f.plan.stopGrace.Seconds(), address))
	return e, err
}

// start starts the entry's process unless it is already running. It does not wait until the
// entry is serving.
func (e *entry) start() error {
	e.disturbances.record()
	return e.process.start()
}

// sendSignal sends a signal to the process if it is running. The returned channel is closed
// when the process has exited. It is nil if no process was ever started.
func (e *entry) sendSignal(signal syscall.Signal) <-chan struct{} {
	e.disturbances.record()
	return e.process.sendSignal(signal)
}

// kill sends SIGKILL to the process and waits until it has exited.
func (e *entry) kill() {
	e.disturbances.record()
	e.process.kill()
}

// isReady reports whether the entry responds with status 200 to a readiness check.
func (e *entry) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + e.readinessAddress + "/fuchsiarouter/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isServing reports whether the entry responds with status 200 to a readiness check and to a
// request that it has to forward to a backend server.
func (e *entry) isServing(client *http.Client) bool {
	if !e.isReady(client) {
		return false
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddress+"/stock/", strings.NewReader(""))
	if err != nil {
		return false
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", "look-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	request.Header.Set("Authorization", "Bearer "+apiKey(0))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
