package platform

import (
	"sync"
	"time"
)

// Modes of the log and of the origin. Both can be up or down, and respond with status 503
// while down.
const (
	ModeUp   = "up"
	ModeDown = "down"
	// ModeSlow is a mode of the log only: each request is delayed before it is handled.
	ModeSlow = "slow"
	// ModeDropResponses is a mode of the log only: an append takes effect, but its
	// connection is closed without a response.
	ModeDropResponses = "lose-answers"
	// ModeCorrupt is a mode of the origin only: some chunks, drawn at random for each
	// read, have one bit flipped.
	ModeCorrupt = "corrupt"
)

// defaultLogDelay is the delay of each log request if an update sets ModeSlow without a
// delay.
const defaultLogDelay = 2 * time.Second

// defaultCorruptPerMille is the number of corrupt chunks per 1000 reads if an update sets
// ModeCorrupt without a number.
const defaultCorruptPerMille = 10

// FaultUpdate changes the injected faults. Fields that are left out stay unchanged, except
// that a change to ModeSlow or ModeCorrupt without a LogDelayMs or CorruptPerMille sets it
// to its default.
type FaultUpdate struct {
	// Log is the mode of the log, and LogDelayMs the delay of each request in ModeSlow.
	Log        *string `json:"log,omitempty"`
	LogDelayMs *int64  `json:"log-delay-ms,omitempty"`
	// DropNextResponses is the number of appends from now on whose responses are dropped.
	DropNextResponses *int64 `json:"lose-next,omitempty"`
	// Origin is the mode of the origin, and CorruptPerMille the number of corrupt chunks
	// per 1000 reads in ModeCorrupt.
	Origin          *string `json:"origin,omitempty"`
	CorruptPerMille *int64  `json:"corrupt-per-mille,omitempty"`
	// VMListLagMs is the time until a change of the VMs appears in the VM list.
	VMListLagMs *int64 `json:"vm-list-lag-ms,omitempty"`
}

// Faults holds the injected faults. The fields have the meanings of those of FaultUpdate.
type Faults struct {
	mu                sync.Mutex
	log               string
	logDelay          time.Duration
	dropNextResponses int64
	origin            string
	corruptPerMille   int64
	vmListLag         time.Duration
}

// Apply changes the faults. It returns false if the update has an unknown mode. If it is the
// mode of the origin that is unknown, the mode of the log has then been applied.
func (f *Faults) Apply(update FaultUpdate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Log != nil {
		switch *update.Log {
		case ModeUp, ModeDown, ModeDropResponses:
		case ModeSlow:
			if update.LogDelayMs == nil {
				f.logDelay = defaultLogDelay
			}
		default:
			return false
		}
		f.log = *update.Log
	}
	if update.Origin != nil {
		switch *update.Origin {
		case ModeUp, ModeDown:
		case ModeCorrupt:
			if update.CorruptPerMille == nil {
				f.corruptPerMille = defaultCorruptPerMille
			}
		default:
			return false
		}
		f.origin = *update.Origin
	}
	if update.LogDelayMs != nil {
		f.logDelay = time.Duration(*update.LogDelayMs) * time.Millisecond
	}
	if update.DropNextResponses != nil {
		f.dropNextResponses = *update.DropNextResponses
	}
	if update.CorruptPerMille != nil {
		f.corruptPerMille = *update.CorruptPerMille
	}
	if update.VMListLagMs != nil {
		f.vmListLag = time.Duration(*update.VMListLagMs) * time.Millisecond
	}
	return true
}

// Log returns the mode of the log, and the delay of each request to it, which is 0 unless
// the mode is ModeSlow.
func (f *Faults) Log() (mode string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.log == ModeSlow {
		return f.log, f.logDelay
	}
	return f.log, 0
}

// ConsumeDropResponse reports whether to drop the response to the current append. If so, and
// the mode is not ModeDropResponses, it decrements the number of responses still to drop.
func (f *Faults) ConsumeDropResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.log == ModeDropResponses {
		return true
	}
	if f.dropNextResponses > 0 {
		f.dropNextResponses--
		return true
	}
	return false
}

// Origin returns the mode of the origin, and the number of corrupt chunks per 1000 reads,
// which is 0 unless the mode is ModeCorrupt.
func (f *Faults) Origin() (mode string, corruptPerMille int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.origin == ModeCorrupt {
		return f.origin, f.corruptPerMille
	}
	return f.origin, 0
}

// VMListLag returns the time until a change of the VMs appears in the VM list.
func (f *Faults) VMListLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmListLag
}
