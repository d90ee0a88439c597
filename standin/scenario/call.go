package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

// defaultRetryTime is how long a caller retries a call, unless the option patience says
// otherwise.
const defaultRetryTime = 30 * time.Second

// call sends calls and records their results under a name:
//
//	call NAME model count=5 tokens=8 rank=urgent stream=true prompt=TEXT adapter=NAME
//	call NAME booking key=WORD path=/bookings body=TEXT first=true idempotent=true
//
// A call to the model requests a number of tokens, and a booking is a call to the plain
// service of the fleet. The calls of one command run concurrently. These options are for
// both kinds:
//
//	background=true        the script continues without waiting for the calls
//	entry=PROCESS          the only entry that the calls are sent to
//	workspace=WORD         the workspace of the callers
//	patience=DURATION      how long a call is retried; 0s means that it is sent once
//	attempt=DURATION       the timeout of each attempt
//	deadline=DURATION      the time to the deadline that the caller sends with the call
//	rank=WORD              the rank that the caller requests
//	count=N                the number of calls, by default one
//
// Without prompt, each call to the model has a prompt of its own. With stream=false the
// answer is sent as a whole. With adapter the call is for that adapter of the model.
//
// A key stands for an idempotency key, a UUID that is generated for this script. A booking
// without a key gets a UUID of its own, and its caller declares that it sends this UUID for the
// first time. With first=true the caller declares the same of the given key. With
// idempotent=true a booking may run any number of times; it is then sent without an
// idempotency key if none is given.
func (s *State) call(args arguments) error {
	name := args.operand(0)
	call, err := s.parseCall(&args)
	if err != nil {
		return err
	}
	count, background := args.intOption("count", 1), args.stringOption("background", "false") == "true"
	workspace := args.stringOption("workspace", "mopa")
	if err := args.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	g := s.addCallGroup(name, cancel)
	entryAddresses := append([]string{}, s.entryAddresses...)
	for i := range count {
		current := call
		if current.Model != "" && args.options["prompt"] == "" {
			// The number comes first, so that the calls spread over the servers: the
			// entries prefer the same server for prompts with a common prefix.
			current.Prompt = fmt.Sprintf("%d %s", i, name)
		}
		if current.Service != "" && args.options["key"] == "" && !current.Idempotent {
			current.Key, current.FirstSend = s.getOrCreateKey(""), true
		}
		s.callerCount++
		// Each call has its own caller, so that the calls spread over all entries.
		caller := s.bench.NewCaller(fmt.Sprintf("%s-%d", name, s.callerCount), workspace, entryAddresses...)
		g.running.Go(func() { g.sendAndRecord(ctx, caller, current) })
	}
	if background {
		return nil
	}
	g.running.Wait()
	return g.err
}

// parseCall returns the call that the arguments of a command describe. The second operand is
// its kind, model or booking. Invalid options are reported by arguments.check.
func (s *State) parseCall(args *arguments) (bench.Call, error) {
	call := bench.Call{
		Rank:           args.stringOption("rank", ""),
		Deadline:       args.durationOption("deadline", 0),
		Patience:       args.durationOption("patience", defaultRetryTime),
		AttemptTimeout: args.durationOption("attempt", 0),
	}
	if entry := args.stringOption("entry", ""); entry != "" {
		process, err := s.bench.Process(entry)
		if err != nil {
			return call, err
		}
		call.Entry = process.Address
	}
	switch args.operand(1) {
	case "model":
		call.Model = model
		if adapter := args.stringOption("adapter", ""); adapter != "" {
			call.Model += ":" + adapter
		}
		call.Idempotent = true
		call.Prompt = args.stringOption("prompt", "")
		call.Tokens = args.intOption("tokens", 8)
		call.Stream = args.stringOption("stream", "true") == "true"
	case "booking":
		call.Service = service
		call.Path = args.stringOption("path", "/bookings")
		call.Body = args.stringOption("body", `{"pickup":"04:30"}`)
		call.Idempotent = args.stringOption("idempotent", "false") == "true"
		if keyName := args.stringOption("key", ""); keyName != "" {
			call.Key = s.getOrCreateKey(keyName)
			call.FirstSend = args.stringOption("first", "false") == "true"
		}
	default:
		return call, errors.New("the kind of a call must be model or booking")
	}
	return call, nil
}

// abandon makes the callers of background calls close their connections, and waits until
// the calls have ended:
//
//	abandon NAME…
func (s *State) abandon(name string) error {
	g, err := s.findCallGroup(name)
	if err != nil {
		return err
	}
	g.cancel()
	g.running.Wait()
	return g.err
}

// getOrCreateKey returns the idempotency key that a name in the script stands for. It
// generates a new key for a name that was not used before and for an empty name.
func (s *State) getOrCreateKey(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.identifiers["key "+name]; ok && name != "" {
		return known
	}
	created := uuid.Must(uuid.NewV7()).String()
	s.identifiers["key "+name] = created
	return created
}

// addCallGroup adds an empty group of calls with the name. It replaces an earlier group.
func (s *State) addCallGroup(name string, cancel context.CancelFunc) *callGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &callGroup{cancel: cancel}
	s.callGroups[name] = g
	return g
}

// findCallGroup returns the latest group of calls with the name.
func (s *State) findCallGroup(name string) (*callGroup, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.callGroups[name]
	if !ok {
		return nil, errors.Errorf("no calls named %q", name)
	}
	return g, nil
}

// sendAndRecord sends a call, waits until it has ended and adds it to the group.
func (g *callGroup) sendAndRecord(ctx context.Context, caller *bench.Caller, call bench.Call) {
	result, err := caller.Do(ctx, call)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, result)
	if err != nil && g.err == nil {
		g.err = err
	}
}

// flood starts or stops a flood of calls to the model: each of several callers sends one
// call after the other until the flood is stopped:
//
//	flood start NAME callers=20 rank=overnight workspace=WORD tokens=8
//	flood stop NAME
//
// The calls are not retried: a call that is rejected ends with that result.
func (s *State) flood(args arguments) error {
	name := args.operand(1)
	if args.operand(0) == "stop" {
		g, err := s.findCallGroup(name)
		if err != nil {
			return err
		}
		g.cancel()
		g.running.Wait()
		return g.err
	}
	args.operands = []string{name, "model"}
	call, err := s.parseCall(&args)
	if err != nil {
		return err
	}
	call.Patience = 0
	callers, workspace := args.intOption("callers", 10), args.stringOption("workspace", "ibarrola")
	if err := args.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	g := s.addCallGroup(name, cancel)
	for i := range callers {
		caller := s.bench.NewCaller(fmt.Sprintf("%s-%d", name, i), workspace, s.entryAddresses...)
		g.running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				current := call
				current.Prompt = fmt.Sprintf("%d %d %s", n, i, name)
				// Stopping the flood does not cancel a call in progress.
				g.sendAndRecord(context.WithoutCancel(ctx), caller, current)
				waitFloodInterval(ctx)
			}
		})
	}
	return nil
}

// waitFloodInterval waits between two calls of a caller of a flood, which limits the rate
// of calls that are rejected immediately.
func waitFloodInterval(ctx context.Context) {
	const interval = 5 * time.Millisecond
	select {
	case <-time.After(interval):
	case <-ctx.Done():
	}
}
