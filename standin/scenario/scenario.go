// Package scenario implements the commands of testscript scripts that test the
// daemons under faults.
//
// A script starts a fleet: a stand-in for the platform, entries, and agents with a stand-in
// for a model engine or for a plain service, the booking service, each as a process. It
// injects faults, sends calls and states the expected results. A call is what a caller
// wants to be answered; the caller may send several requests for it, its attempts. A run is
// one execution of a request at a backend server.
//
// There are no fixed waits: expect waits for a condition and fails if it does not hold
// within a timeout. The last line of a script is "expect promises": package checker then
// checks on the history of all calls and runs that the system kept its guarantees, which
// are called promises.
package scenario

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// stateKey is the key of the *State of a script in the Values of its testscript.Env.
type stateKey struct{}

// State is the state of a running script.
type State struct {
	// binDir holds the binaries, workDir the files of this script and exampleDir the
	// example configuration documents.
	binDir, workDir, exampleDir string

	// bench starts the processes and records the history of calls and runs.
	bench *bench.Bench
	// document is the configuration that was published last. It is nil until "start
	// fleet".
	document *bench.Document
	// ctx ends with the script.
	ctx context.Context
	// engines, agents and entries hold the names of the processes that were started,
	// entryAddresses the addresses at which the entries accept calls.
	engines        []string
	agents         []string
	entries        []string
	entryAddresses []string
	// callerCount is the number of callers that the call command has created. It makes
	// their names unique.
	callerCount int
	// busySuffix is set by "expect busy" to the suffix of the name of the engine that it
	// found running requests, for example "-0" for engine-0. The name of the engine's
	// agent has the same suffix.
	busySuffix string
	// hasLinks is set if the regions are connected by links that can fail;
	// platformLinks then holds, by region, the address of the link to the platform.
	hasLinks      bool
	platformLinks map[string]string

	mu sync.Mutex
	// callGroups holds the groups of calls by the name that the script gave them.
	callGroups map[string]*callGroup
	// identifiers maps names in the script to the digests of versions, to the identities
	// of adapters as returned by fuchsiarouter.JoinIdentity, and, with the prefix "key ",
	// to idempotency keys.
	identifiers map[string]string
}

// callGroup holds the calls that one command of the script sent.
type callGroup struct {
	// running counts the goroutines that send calls of the group.
	running sync.WaitGroup
	// cancel makes the callers close their connections or, for a flood, send no further
	// calls.
	cancel context.CancelFunc
	mu     sync.Mutex
	// calls holds the calls that have ended, err the first error of a call that could not
	// be sent at all. A call that fails with a result is not an error.
	calls []checker.Call
	err   error
}

// regions are the regions of every fleet. The platform, including its weight origin, is in
// the first.
var regions = []document.Region{
	{Name: "norte", AvailabilityZones: []string{"norte-a"}},
	{Name: "centro", AvailabilityZones: []string{"centro-a"}},
	{Name: "sur", AvailabilityZones: []string{"sur-a"}},
}

// Setup returns the function for testscript.Params.Setup. It prepares the State of a script
// that uses the binaries in the directory bin and the example configuration documents below
// the directory configurations, and stops all processes at the end of the script.
func Setup(bin, configurations string) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		b, err := bench.New(bin, env.WorkDir)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		env.Defer(func() {
			cancel()
			b.Close()
		})
		env.Values[stateKey{}] = &State{
			binDir: bin, workDir: env.WorkDir, exampleDir: configurations,
			bench: b, ctx: ctx, callGroups: map[string]*callGroup{}, identifiers: map[string]string{},
			platformLinks: map[string]string{},
		}
		return nil
	}
}

// Commands returns the functions for testscript.Params.Cmds, by the name of the command. The
// methods of State with the same names describe the arguments. Each function logs how long
// the command took, and fails the script if the command fails or is negated.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range map[string]func(*State, arguments) error{
		"start":    (*State).start,
		"process":  (*State).process,
		"freeze":   forEachOperand(processCommand((*bench.Process).Freeze)),
		"resume":   forEachOperand(processCommand((*bench.Process).Resume)),
		"cut":      forEachOperand(linkCommand("cut")),
		"stall":    forEachOperand(linkCommand("stall")),
		"heal":     forEachOperand(linkCommand("heal")),
		"platform": (*State).platform,
		"engine":   (*State).engine,
		"region":   (*State).region,
		"publish":  (*State).publish,
		"call":     (*State).call,
		"flood":    (*State).flood,
		"abandon":  forEachOperand((*State).abandon),
		"expect":   (*State).expect,
		"replay":   (*State).replay,
	} {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated; state the expected result instead", name)
			}
			state, _ := ts.Value(stateKey{}).(*State)
			begin := time.Now()
			if err := run(state, parseArguments(args)); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
			ts.Logf("%s %s: %.2f s", name, strings.Join(args, " "), time.Since(begin).Seconds())
		}
	}
	return commands
}

// forEachOperand returns a command that calls the function run with one operand after the
// other.
func forEachOperand(run func(*State, string) error) func(*State, arguments) error {
	return func(s *State, args arguments) error {
		for _, name := range args.operands {
			if err := run(s, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// process ends processes. It is one command because testscript has built-in commands named
// kill and stop:
//
//	process kill NAME…    with SIGKILL
//	process stop NAME…    with SIGTERM, and waits until the processes have exited
func (s *State) process(args arguments) error {
	end, ok := map[string]func(*State, string) error{
		"kill": processCommand((*bench.Process).Kill),
		"stop": processCommand(nil),
	}[args.operand(0)]
	if !ok {
		return errors.New("the operation must be kill or stop")
	}
	return forEachOperand(end)(s, arguments{operands: args.operands[1:]})
}

// processCommand returns a function that applies an operation to the process with a name.
// A nil operation stops the process with SIGTERM and waits until it has exited.
func processCommand(operation func(*bench.Process)) func(*State, string) error {
	return func(s *State, name string) error {
		process, err := s.findProcess(name)
		if err != nil {
			return err
		}
		if operation == nil {
			return s.bench.Stop(process.Name)
		}
		operation(process)
		return nil
	}
}

// findProcess returns a process by its name. The names busy-engine and busy-agent refer to
// the engine that the last "expect busy" found running requests, and to its agent.
func (s *State) findProcess(name string) (*bench.Process, error) {
	if kind, ok := strings.CutPrefix(name, "busy-"); ok {
		name = kind + s.busySuffix
	}
	return s.bench.Process(name)
}

// region changes the state of the links between a region and the other regions. It requires
// "start fleet linked=true":
//
//	region cut NAME      reset connections
//	region stall NAME    keep connections open but forward nothing
//	region heal NAME     forward again
func (s *State) region(args arguments) error {
	return s.bench.SetRegionLinks(s.ctx, args.operand(1), regions[0].Name, args.operand(0))
}

// linkCommand returns a function that changes the state of the link with a name: cut, stall
// and heal have the same meaning as for region.
func linkCommand(command string) func(*State, string) error {
	return func(s *State, name string) error {
		process, err := s.findProcess(name)
		if err != nil {
			return err
		}
		return bench.SendJSON(s.ctx, "POST", process.Control+"/"+command, nil, nil)
	}
}
