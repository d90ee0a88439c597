package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// process is a daemon that is started as a process, possibly several times in a run.
type process struct {
	name string
	// binary is the path of the daemon, command its subcommand, nodeFile the path of its settings,
	// and logFile that of the file to which its output is appended.
	binary   string
	command  string
	nodeFile string
	logFile  string

	mu sync.Mutex
	// running is nil while no process is running.
	running *exec.Cmd
	// exited is closed when the most recently started process has exited. It is nil before
	// the first start.
	exited chan struct{}
	// stopRequested is set once the running process got a signal that ends it. ownEnds counts the
	// processes that have ended without one.
	stopRequested bool
	ownEnds       int
}

// start starts the process unless it is already running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.name)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.binary, p.command, "--node-file", p.nodeFile)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the daemon if this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	exited := make(chan struct{})
	p.running, p.exited, p.stopRequested = command, exited, false
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		if !p.stopRequested {
			p.ownEnds++
		}
		p.running = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// sendSignal sends a signal to the process if it is running. The returned channel is closed
// when the process has exited. It is nil if no process was ever started.
func (p *process) sendSignal(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		p.stopRequested = p.stopRequested || signal == syscall.SIGKILL || signal == syscall.SIGTERM
		_ = p.running.Process.Signal(signal)
	}
	return p.exited
}

// pid returns the ID of the running process, 0 if there is none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// ownExits returns the number of processes that have ended without a signal.
func (p *process) ownExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	if exited := p.sendSignal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}
