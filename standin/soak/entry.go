package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
)

// entry is an entry process and the proxy through which it reaches the store.
type entry struct {
	name      string
	binary    string
	settings  string
	log       string
	callers   string
	readiness string
	store     *link.Link

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

const node = `{"nodeName":%q,"ip":%q,"zone":"z","region":"r","zones":{"z":"r"},
 "listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%d,%d],
 "limits":{"memoryMb":200,"linkMbps":100},
 "bounds":{"revokeMs":5000,"graceS":4,"version_ms":8000,"budgetRatio":0.2,"budgetSlack":100,"budgetWindowS":10,"ttl_max_s":5},
 "platform":{"address":%q}}`

// newEntry prepares an entry with a loopback address of its own.
func (f *fleet) newEntry(number int) (*entry, error) {
	ip := fmt.Sprintf("127.0.9.%d", number+1)
	addresses := make([]string, 4)
	for i := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "address")
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	_, text, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	store, address, err := f.proxy(f.store.Address())
	if err != nil {
		return nil, err
	}
	made := &entry{
		name: fmt.Sprintf("entry-%d", number), binary: f.settings.Binary, callers: addresses[0], readiness: addresses[1],
		store: store, log: filepath.Join(f.settings.Dir, fmt.Sprintf("entry-%d.log", number)),
	}
	made.settings, err = f.write(made.name+".json",
		fmt.Appendf(nil, node, made.name, ip, addresses[0], addresses[1], addresses[2], port, port, address))
	return made, err
}

// start starts the process anew.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		return nil
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, e.name)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(e.binary, "ingress", "--node-file", e.settings)
	command.Stdout, command.Stderr = log, log
	// A child must not outlive a test that was killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, e.name)
	}
	exited := make(chan struct{})
	e.command, e.exited = command, exited
	go func() {
		_ = command.Wait()
		e.mu.Lock()
		e.command = nil
		e.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs, and returns when it has exited.
func (e *entry) signal(signal syscall.Signal) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		_ = e.command.Process.Signal(signal)
	}
	return e.exited
}

func (e *entry) kill() {
	if exited := e.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// serves tells whether the entry is ready and answers a call.
func (e *entry) serves(client *http.Client) bool {
	response, err := client.Get("http://" + e.readiness + "/fuchsiarouter/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/stock/", strings.NewReader(""))
	if err != nil {
		return false
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", "look-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	request.Header.Set("Authorization", "Bearer "+keyName(0))
	response, err = client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
