// Package replay replays traces of requests and faults against a fleet of real processes.
//
// A Trace is a file of JSON lines. The first line describes the fleet, and each further
// line is a fault or a request with its allowed outcomes. Play starts the fleet on a
// bench.Bench, plays the lines at their offsets and compares each outcome with the allowed
// ones. Package checker then verifies the invariants of the system, which it calls promises,
// on the recorded history. The format is described in docs/replay.md.
//
// The package also generates traces: two with the load and the faults of the example
// configurations, which are committed in the directory traces, and random ones. An offset in
// a trace is a recorded time, and the replay is faster by the speed-up; all other durations
// in a trace are those of the replay.
//
// A fleet consists of entries, which receive the requests, model engines, and plain services,
// which are HTTP services without a model. Each engine and service has an agent. The
// processes are named "entry-0", "engine-0" with "agent-0", and "booking-0" with
// "agent-booking-0" for a service "booking".
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Outcomes of a request in addition to the names of the result codes.
const (
	// Answered is a complete response, within the deadline if there is one.
	Answered = "answered"
	// Late is a complete response after the deadline.
	Late = "late"
	// Unanswered is a call whose connection broke and that could not be retried, or that
	// was retried until the caller's patience was exhausted.
	Unanswered = "unanswered"
)

// Kinds of faults.
const (
	// Kill kills processes with SIGKILL, and Restart starts them again. Freeze suspends
	// processes with SIGSTOP, so that they keep their connections but do not respond, and
	// Resume continues them.
	Kill    = "kill"
	Restart = "restart"
	Freeze  = "freeze"
	Resume  = "resume"
	// Cut resets the connections, also new ones, of the link that belongs to a process; see
	// Fleet.Links. Stall keeps them open but forwards nothing. Heal ends either.
	Cut   = "cut"
	Stall = "stall"
	Heal  = "heal"
	// Leave marks the VM of an agent as leaving, which means that it is to get no new work.
	Leave = "leave"
	// LogMode and Origin set the mode of the platform's log, and of the origin from which
	// model versions are fetched. The mode "up" ends a fault.
	LogMode = "log"
	Origin  = "origin"
	// Crash sends a request that crashes every engine that runs it.
	Crash = "crash"
	// Publish publishes a changed section of the configuration.
	Publish = "publish"
	// Rerun sends a request with a key that was used before directly to a plain service,
	// bypassing fuchsiarouter. This violates an invariant on purpose, to test the checker.
	Rerun = "rerun"
)

// Trace is a sequence of timed requests and faults, with the fleet to play it against.
type Trace struct {
	Fleet  Fleet
	Events []Event
}

// Fleet describes the processes that the trace is played against.
type Fleet struct {
	// Configuration is the name of the example configuration to publish, which is a directory
	// in Options.Configurations.
	Configuration string `json:"configuration"`
	// SpeedUp is the highest number by which the offsets of the events may be divided so that
	// the allowed outcomes of the requests still hold.
	SpeedUp int `json:"speed-up"`
	// Entries and Engines are the number of entries and of model engines.
	Entries int `json:"entries"`
	Engines int `json:"engines"`
	// Slots is the number of requests that each engine runs at the same time.
	Slots int `json:"slots"`
	// TokenTimeUs is the time in microseconds in which an engine generates a token,
	// ServiceTimeMs the time in milliseconds in which a plain service answers.
	TokenTimeUs   int `json:"token-time-us"`
	ServiceTimeMs int `json:"service-time-ms"`
	// Services is the number of servers of each plain service, by its name.
	Services map[string]int `json:"services"`
	// Links lists the agents that reach their engine through a link, and the entries that
	// reach the platform through one.
	Links []string `json:"links,omitempty"`
}

// Event is a line of the trace after the first: either a request or a fault.
type Event struct {
	// OffsetMs is the recorded time since the beginning of the trace, in milliseconds before
	// the division by the speed-up.
	OffsetMs int64    `json:"offset-ms"`
	Request  *Request `json:"request,omitempty"`
	Fault    *Fault   `json:"fault,omitempty"`
}

// Request is a call with its allowed outcomes. Its durations are those of the replay and
// are not shortened by the speed-up.
type Request struct {
	Workspace string `json:"workspace"`
	// Either Model is set, or Service with the path within the plain service.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	// Rank is the scheduling class that the call asks for.
	Rank string `json:"rank"`
	// Key is a name for an idempotency key; the same name stands for the same key.
	Key string `json:"key,omitempty"`
	// Bytes is the size of the prompt or body, Tokens the length in tokens of the response of
	// a model.
	Bytes  int `json:"bytes,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	// Stream requests a stream of server-sent events.
	Stream bool `json:"stream,omitempty"`
	// DeadlineMs is the deadline that the call asks for, counted from its first attempt to
	// tell Late from Answered; 0 means that it asks for none. PatienceMs is how long the
	// caller retries; 0 means that it sends the request once.
	DeadlineMs int64 `json:"deadline-ms,omitempty"`
	PatienceMs int64 `json:"patience-ms,omitempty"`
	// FirstTokenMs bounds the time from the first attempt to the first token; 0 means no
	// bound. The bound must hold for 95 % of the requests that set one.
	FirstTokenMs int64 `json:"first-token-ms,omitempty"`
	// Outcomes are the allowed outcomes: Answered, Late, Unanswered or names of result codes.
	Outcomes []string `json:"outcomes"`
	// Reason is why more than one outcome is allowed. The numbers in reasons such as
	// "design 9" are sections of the design of the system.
	Reason string `json:"because,omitempty"`
}

// Fault is a fault, the end of one, or a change of the configuration or the fleet.
type Fault struct {
	// Kind is one of the kinds of faults above.
	Kind string `json:"kind"`
	// Process is the name of a process, or of the process that a link belongs to; Rerun takes
	// the name of a plain service's process. Kill, Restart, Freeze and Resume accept several
	// names separated by spaces. Restart without a name restarts all engines that have exited.
	Process string `json:"process,omitempty"`
	// Mode is the new mode of the log or the origin, one of the modes of package platform.
	Mode string `json:"mode,omitempty"`
	// Section is the section that Publish publishes. Model is the model that gets a new
	// version if that is the section of models, or the model that Crash calls.
	Section string `json:"section,omitempty"`
	Model   string `json:"model,omitempty"`
	// InForceMs bounds the time until a publication is in force on all daemons, which means
	// that they apply the published revision; 0 disables the check.
	InForceMs int64 `json:"in-force-ms,omitempty"`
	// Key is the name of the idempotency key that Rerun uses, as in Request.Key.
	Key string `json:"key,omitempty"`
	// Workspace is the workspace that sends the request of Crash.
	Workspace string `json:"workspace,omitempty"`
}

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 16

// Read reads and validates a trace. The error for an invalid line contains its number.
func Read(r io.Reader) (Trace, error) {
	var trace Trace
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		var err error
		if number == 1 {
			var head struct {
				Fleet Fleet `json:"fleet"`
			}
			err = decodeStrict(scanner.Bytes(), &head)
			trace.Fleet = head.Fleet
		} else {
			var event Event
			if err = decodeStrict(scanner.Bytes(), &event); err == nil {
				err = event.validate()
			}
			trace.Events = append(trace.Events, event)
		}
		if err != nil {
			return Trace{}, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, errors.Wrap(err, "read trace")
	}
	if trace.Fleet.Entries < 1 || trace.Fleet.Engines < 1 || trace.Fleet.SpeedUp < 1 {
		return Trace{}, errors.New("line 1: the fleet needs entries, engines and a speed-up")
	}
	return trace, nil
}

// decodeStrict decodes a JSON line and rejects unknown fields.
func decodeStrict(line []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

// validate returns an error unless the event is either a fault of a known kind or a request
// with at least one outcome, only known ones, and a reason if it has several.
func (e Event) validate() error {
	switch {
	case (e.Request == nil) == (e.Fault == nil):
		return errors.New("a line is either a request or a fault")
	case e.Fault != nil:
		kinds := []string{Kill, Restart, Freeze, Resume, Cut, Stall, Heal, Leave, LogMode, Origin, Crash, Publish, Rerun}
		if !slices.Contains(kinds, e.Fault.Kind) {
			return errors.Errorf("unknown kind of fault %q", e.Fault.Kind)
		}
		return nil
	case len(e.Request.Outcomes) == 0:
		return errors.New("the request lists no outcome")
	case len(e.Request.Outcomes) > 1 && e.Request.Reason == "":
		return errors.New("more than one outcome needs a reason")
	}
	for _, outcome := range e.Request.Outcomes {
		known := outcome == Answered || outcome == Late || outcome == Unanswered ||
			slices.ContainsFunc(result.All(), func(code result.Code) bool { return code.Name == outcome })
		if !known {
			return errors.Errorf("unknown outcome %q", outcome)
		}
	}
	return nil
}

// Write writes a trace in the format that Read reads.
func Write(w io.Writer, trace Trace) error {
	encoder := json.NewEncoder(w)
	head := struct {
		Fleet Fleet `json:"fleet"`
	}{trace.Fleet}
	if err := encoder.Encode(head); err != nil {
		return errors.Wrap(err, "write trace")
	}
	for _, event := range trace.Events {
		if err := encoder.Encode(event); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
