package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// processes holds the processes that were started and have not ended, and the folder of their files.
type processes struct {
	mu     sync.Mutex
	held   map[*os.Process]struct{}
	folder string
	ended  bool
}

var running = processes{held: map[*os.Process]struct{}{}}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[process] = struct{}{}
	if p.ended {
		_ = process.Kill()
	}
}

func (p *processes) remove(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, process)
}

// kill ends all of them, also those that are started later, and removes the folder.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for process := range p.held {
		_ = process.Kill()
	}
	if p.folder != "" {
		_ = os.RemoveAll(p.folder)
	}
}

// front is a machine that runs the ingress role.
type front struct {
	name, ip, zone string
	// settings is the path of the settings file, values what it holds.
	settings string
	values   map[string]any
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
}

func (f *front) callers() string   { return f.ip + ":8005" }
func (f *front) readiness() string { return f.ip + ":8002" }

// start writes the settings file and starts the program of the deploy file.
func (f *front) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values["bootstrap"] = f.process == nil
	body, err := json.Marshal(f.values)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.settings, body, 0o600); err != nil {
		return err
	}
	command := exec.Command("target/fuchsiarouterd", "ingress")
	command.Env = []string{"FUCHSIAROUTER_NODE_FILE=" + f.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = f.log, f.log
	if err := command.Start(); err != nil {
		return err
	}
	running.add(command.Process)
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		running.remove(command.Process)
		close(done)
	}()
	f.process, f.done = command, done
	return nil
}

// signal sends a signal to the process that start has started.
func (f *front) signal(number syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.process != nil {
		_ = f.process.Process.Signal(number)
	}
}

// stop ends the process and waits for its end.
func (f *front) stop(number syscall.Signal) {
	f.signal(number)
	f.mu.Lock()
	done := f.done
	f.mu.Unlock()
	if done != nil {
		<-done
	}
}

// zonesOfDeployment are the zones of the deployment with their regions.
var zonesOfDeployment = map[string]string{"norte-a": "norte", "cantabria-a": "cantabria", "ebro-a": "ebro"}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder string
	store  *store
	net    string
	fronts []*front
}

// newDeployment starts the store and prepares the fronts, one for each of the zones. All machines have
// an address of their own in a free loopback network.
func newDeployment(zones ...string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	running.mu.Lock()
	running.folder = folder
	running.mu.Unlock()
	d := &deployment{folder: folder}
	for number := 60; number < 250; number++ {
		candidate := fmt.Sprintf("127.%d.%d", number, os.Getpid()%200+20)
		if d.store, err = newStore(candidate + ".7:8007"); err == nil {
			d.net = candidate
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for index, zone := range zones {
		f := &front{name: fmt.Sprintf("front-%s-%d", zone, index+1), ip: fmt.Sprintf("%s.%d", d.net, 40+index), zone: zone}
		f.settings = filepath.Join(folder, f.name+".json")
		if f.log, err = os.Create(filepath.Join(folder, f.name+".log")); err != nil {
			return nil, err
		}
		f.values = map[string]any{
			"nodeName": f.name, "role": "ingress", "machineClass": "front", "serves": []string{"front", "directory"},
			"ip": f.ip, "zone": zone, "region": zonesOfDeployment[zone], "zones": zonesOfDeployment,
			"listen":        map[string]any{"front": f.ip + ":8005", "readiness": f.ip + ":8002", "directory": f.ip + ":8009"},
			"internalPorts": []int{7700, 7715}, "seeds": []string{}, "countsAsLoss": false,
			"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir":     nil,
			"discovery":   "platform",
			"entry":       "directory",
			"heartbeatMs": 1200,
			"contracts":   []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250, "maxStretchMs": 5000, "strictRevoke": true,
				"revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 100, "recoveryS": 12, "passMs": 120,
				"retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0, "ttl_max_s": 5,
			},
			"platform": map[string]any{"address": d.store.address, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12, "minTtlMs": 1000},
		}
		d.fronts = append(d.fronts, f)
	}
	return d, nil
}

// worker adds a worker at an address of its own.
func (d *deployment) worker(number int, zone, service string, handle func(*worker, httpWriter, *httpRequest)) (*worker, error) {
	return newWorker(d.store, fmt.Sprintf("w%d", number), fmt.Sprintf("%s.%d:8080", d.net, 100+number), zone, service, handle)
}

// start starts all fronts and waits until they are ready.
func (d *deployment) start() error {
	for _, f := range d.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	for _, f := range d.fronts {
		if err := f.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the readiness check of a front succeeds.
func (f *front) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := probeClient.Get("http://" + f.readiness() + "/fuchsiarouter/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.name)
}

// close ends all processes that were started and removes the folder.
func (d *deployment) close() {
	for _, f := range d.fronts {
		f.stop(syscall.SIGKILL)
		_ = f.log.Close()
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
