package scenario

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

// liveEntries returns the names of the entries whose process runs and is not suspended by
// the command freeze.
func (s *State) liveEntries() []string {
	return slices.DeleteFunc(slices.Clone(s.entries), func(name string) bool {
		process, err := s.bench.Process(name)
		return err != nil || !process.IsRunning() || process.IsFrozen()
	})
}

// expectReady waits until a daemon reports that it accepts requests.
func (s *State) expectReady(args *arguments) error {
	within := args.durationOption("within", startTimeout)
	if err := args.check(); err != nil {
		return err
	}
	return s.bench.AwaitReady(s.ctx, args.operand(1), within)
}

// expectExited waits until a process has exited.
func (s *State) expectExited(args *arguments) error {
	within := args.durationOption("within", defaultTimeout)
	process, err := s.bench.Process(args.operand(1))
	if err != nil {
		return err
	}
	return bench.WaitUntil(s.ctx, within, process.Name+" ends", func() error {
		if process.IsRunning() {
			return errors.New("still running")
		}
		return nil
	})
}

// expectReplicas waits until at least the given number of engines have loaded a version or
// adapter.
func (s *State) expectReplicas(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	return s.bench.AwaitReplicas(s.ctx, s.engines, model, s.identifiers[args.operand(1)], count, within)
}

// expectUnloaded waits until no engine has the version or adapter loaded.
func (s *State) expectUnloaded(args *arguments) error {
	within := args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	digest := s.identifiers[args.operand(1)]
	return bench.WaitUntil(s.ctx, within, args.operand(1)+" is unloaded", func() error {
		for _, name := range s.engines {
			versions, err := s.bench.EngineVersions(s.ctx, name)
			if err == nil && slices.Contains(versions[model], digest) {
				return errors.Errorf("%s still has it loaded", name)
			}
		}
		return nil
	})
}

// expectRole waits until exactly the given number of engines have the role.
func (s *State) expectRole(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	return bench.WaitUntil(s.ctx, within, "engines with the role "+args.operand(1), func() error {
		seen := 0
		for _, name := range s.engines {
			server, err := s.bench.Process(name)
			if err != nil {
				return err
			}
			var status struct {
				Role string `json:"role"`
			}
			if bench.SendJSON(s.ctx, http.MethodGet, server.Address+"/status", nil, &status) == nil && status.Role == args.operand(1) {
				seen++
			}
		}
		if seen != count {
			return errors.Errorf("%d, not %d", seen, count)
		}
		return nil
	})
}

// expectServing waits until every live entry sees at least the given number of servers that
// have a version or adapter ready, or of servers of the plain service if the name is not
// that of a version or adapter.
func (s *State) expectServing(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	name, digest := model, s.identifiers[args.operand(1)]
	if digest == "" {
		name = service
	}
	for _, entry := range s.liveEntries() {
		if err := s.bench.AwaitServing(s.ctx, entry, name, digest, count, within); err != nil {
			return err
		}
	}
	return nil
}

// expectSurvivors checks that the processes of at least the given number of engines are
// running.
func (s *State) expectSurvivors(args *arguments) error {
	want, err := strconv.Atoi(args.operand(1))
	if err != nil {
		return errors.Wrap(err, "number of engines")
	}
	running := 0
	for _, name := range s.engines {
		if process, err := s.bench.Process(name); err == nil && process.IsRunning() {
			running++
		}
	}
	if running < want {
		return errors.Errorf("%d of %d engines run", running, len(s.engines))
	}
	return nil
}

// expectBusy waits until an engine runs at least the given number of requests, each of which
// has sent at least the given number of tokens. It stores which engine that is for findProcess.
func (s *State) expectBusy(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	tokens := args.intOption("tokens", 0)
	if err := args.check(); err != nil {
		return err
	}
	return bench.WaitUntil(s.ctx, within, "a busy engine", func() error {
		for _, name := range s.engines {
			running, err := s.countRuns(name, func(run engine.Run) bool { return isRunning(run) && run.StreamedTokens >= tokens })
			if err == nil && running >= count {
				s.busySuffix = strings.TrimPrefix(name, "engine")
				return nil
			}
		}
		return errors.Errorf("no engine runs %d requests", count)
	})
}

// expectInterrupted checks that the servers that the command names together have started
// exactly the given number of requests without finishing them. Requests that are still
// running count.
func (s *State) expectInterrupted(args *arguments) error {
	want := args.intOption("count", 0)
	if err := args.check(); err != nil {
		return err
	}
	seen := 0
	for _, name := range args.operands[1:] {
		count, err := s.countRuns(name, func(run engine.Run) bool { return run.State != engine.RunDone })
		if err != nil {
			return err
		}
		seen += count
	}
	if seen != want {
		return errors.Errorf("%d, not %d", seen, want)
	}
	return nil
}

// expectOriginBytes checks an upper limit on the bytes that the origin has sent to all
// agents.
func (s *State) expectOriginBytes(args *arguments) error {
	maxBytes := args.intOption("bytes", 0)
	if err := args.check(); err != nil {
		return err
	}
	var answer struct {
		Total int `json:"total"`
	}
	if err := bench.SendJSON(s.ctx, http.MethodGet, s.bench.PlatformAddress()+"/origin-bytes", nil, &answer); err != nil {
		return err
	}
	if answer.Total > maxBytes {
		return errors.Errorf("%d bytes exceed the limit of %d", answer.Total, maxBytes)
	}
	return nil
}

// expectNotLive waits until no live entry gives an agent or another entry the status live.
// One that is leaving does not count as live.
func (s *State) expectNotLive(args *arguments) error {
	within := args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	daemon, err := s.findProcess(args.operand(1))
	if err != nil {
		return err
	}
	for _, entry := range s.liveEntries() {
		err := bench.WaitUntil(s.ctx, within, entry+" does not give the status live to "+daemon.Name, func() error {
			return s.checkNotLive(entry, daemon.Name)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// expectRefused waits until the engine that the command names has rejected at least the given
// number of orders, each because an order with a higher fencing token came before it.
func (s *State) expectRefused(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	server, err := s.findProcess(args.operand(1))
	if err != nil {
		return err
	}
	return bench.WaitUntil(s.ctx, within, "refused orders", func() error {
		var answer struct {
			Refused int `json:"refused"`
		}
		if err := bench.SendJSON(s.ctx, http.MethodGet, server.Address+"/status", nil, &answer); err != nil {
			return err
		}
		if answer.Refused < count {
			return errors.Errorf("%d, not %d", answer.Refused, count)
		}
		return nil
	})
}

// expectSilent waits until every live entry has received no heartbeat of the agents for the
// time that the option "longer" gives. It checks that the entry then gives them the status that
// the option "status" names.
func (s *State) expectSilent(args *arguments) error {
	silence, want := args.durationOption("longer", fleet.DeadAfter), args.stringOption("status", "")
	if err := args.check(); err != nil {
		return err
	}
	for _, entry := range s.liveEntries() {
		for _, agent := range args.operands[1:] {
			status := fleet.Status("")
			err := bench.WaitUntil(s.ctx, silence+defaultTimeout, agent+" is silent", func() error {
				view, err := s.bench.EntryStatus(s.ctx, entry)
				if err != nil {
					return err
				}
				for _, member := range view.Members {
					if member.ID == agent && time.Since(member.HeardAt) > silence {
						status = member.Status
						return nil
					}
				}
				return errors.New("a heartbeat was received, or the agent was removed")
			})
			if err != nil {
				return err
			}
			if string(status) != want {
				return errors.Errorf("%s gives %s the status %s", entry, agent, status)
			}
		}
	}
	return nil
}

// checkNotLive returns an error if the entry gives the daemon the status live and does not
// see it as leaving.
func (s *State) checkNotLive(entry, daemon string) error {
	status, err := s.bench.EntryStatus(s.ctx, entry)
	if err != nil {
		return err
	}
	for _, member := range status.Members {
		if member.ID == daemon && member.Status == fleet.StatusLive && !member.IsLeaving() {
			return errors.Errorf("live, last heartbeat %s ago", time.Since(member.HeardAt).Round(time.Millisecond))
		}
	}
	return nil
}

// expectEntries waits until the list of entries that a caller gets has exactly the given
// length.
func (s *State) expectEntries(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	return bench.WaitUntil(s.ctx, within, "entries for callers", func() error {
		caller := s.bench.NewCaller("entries", "mopa", s.entryAddresses...)
		entries, err := caller.FetchEntries(s.ctx)
		if err != nil {
			return err
		}
		if len(entries) != count {
			return errors.Errorf("%d, not %d", len(entries), count)
		}
		return nil
	})
}
