// Package claim decides which process may run a non-idempotent call.
//
// The order of the log decides. A Table holds the state of all idempotency keys,
// computed from the records of the stream "claims". The first claim of a free
// key takes it, and the process that made the claim becomes the holder of the key.
// A release by the holder frees the key, and an outcome ends it: the key can never be
// claimed again. A claim has no lease: a paused holder keeps its key however long the
// pause is, so a call runs at most once without any assumption about pauses or
// clocks.
//
// A claim carries the offset up to which its holder had read when the call
// arrived. The claim is void when the key was released after that offset. A claim that
// was delayed on its way, or appended twice, therefore cannot succeed after a
// release for which callers were told "did not run".
//
// A key carries the time of its creation, and a record the time at which the log
// appended it. A claim has no effect when its key is older at that time than a fixed
// age, the window, so a table removes such keys and needs the records of one window
// only. A table that has missed records, because retention removed them, or that
// evicted keys because it is full, rejects every key that may be affected.
package claim

import "time"

// Defaults of Settings.
const (
	DefaultWindow       = 15 * time.Minute
	DefaultMaxClockSkew = 2 * time.Second
	// DefaultMaxKeys and DefaultMaxBodyBytes take about 60 MB and 32 MB of the
	// 256 MB memory limit of a daemon.
	DefaultMaxKeys      = 150_000
	DefaultMaxBodyBytes = 32 << 20
)

// Settings limits a table. A zero field takes its default.
type Settings struct {
	// Window is the age up to which a key is accepted.
	Window time.Duration
	// MaxClockSkew is how far the time of a key may lie in the future. It must be
	// the same in all processes.
	MaxClockSkew time.Duration
	// MaxKeys limits the number of keys, MaxBodyBytes the total size of the stored
	// outcome bodies.
	MaxKeys      int
	MaxBodyBytes int
}

func (s Settings) withDefaults() Settings {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.MaxClockSkew <= 0 {
		s.MaxClockSkew = DefaultMaxClockSkew
	}
	if s.MaxKeys <= 0 {
		s.MaxKeys = DefaultMaxKeys
	}
	if s.MaxBodyBytes <= 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return s
}

// State is the state of a key.
type State int

// The states of a key.
const (
	// Free keys can be claimed. A key that the table does not have is free unless it
	// is Expired.
	Free State = iota
	// Held keys were taken by a claim that has not ended yet.
	Held
	// Done keys have an outcome.
	Done
	// Expired keys are older than the window, or the table may have evicted or missed
	// claims of them.
	Expired
)

// KeyInfo is the state of one key in a table.
type KeyInfo struct {
	State State
	// Nonce, Holder and Fingerprint are those of the claim that took the key, or of
	// the outcome when another claim took the key in this table or none did. They are
	// empty for a free key.
	Nonce       Nonce
	Holder      Holder
	Fingerprint string
	// Outcome is set when the state is Done.
	Outcome Outcome
	// releasedOffset is the offset after the last release, 0 when there was none. A
	// claim with a lower base is void.
	releasedOffset int64
}

// Decision is the effect of a record on a table.
type Decision int

// The decisions. A claim results in Won, Lost, Void, TooOld or Repeated.
const (
	// Won means that the claim took the key.
	Won Decision = iota
	// Lost means that another claim holds the key, or that the key has the outcome of
	// another claim.
	Lost
	// Void means that the key was released after the call of the claim arrived, that
	// is, at or after the claim's Base.
	Void
	// TooOld means that the key is older than the window or too far in the future,
	// or that the table may have evicted or missed claims of it.
	TooOld
	// Repeated means that the record had no effect, usually because it was applied
	// before. It is also the decision about a mark.
	Repeated
	// Settled means that a release or an outcome took effect.
	Settled
)

// String returns the name of the decision.
func (d Decision) String() string {
	names := [...]string{"won", "lost", "void", "too old", "repeated", "settled"}
	if d < 0 || int(d) >= len(names) {
		return "unknown"
	}
	return names[d]
}

// RecordDecision is a record and its effect.
type RecordDecision struct {
	Record   Record
	Decision Decision
}

// Table holds, for each idempotency key, which claim won and how the call ended. It is
// not safe for concurrent use.
type Table struct {
	settings Settings
	keys     map[Key]*KeyInfo
	// keysBySecond lists the keys by the Unix second of their creation, so that
	// expiry needs no scan.
	keysBySecond map[int64][]Key
	// oldestSecond is a lower bound of the seconds in keysBySecond.
	oldestSecond int64
	nextOffset   int64
	// hasGap is set while records before nextOffset are missing and the floor does
	// not cover them yet.
	hasGap bool
	// logTime is the latest time at which the log appended one of the applied
	// records. The age of keys is measured against it.
	logTime time.Time
	// floor is the creation time up to which keys are not decided, because their
	// claims may have been evicted or missed.
	floor time.Time
	// keysWithBody lists the keys with a stored body in the order of their
	// outcomes.
	keysWithBody []Key
	bodyBytes    int
}

// New returns an empty table that expects the first record of the stream, at offset 0.
func New(settings Settings) *Table {
	return &Table{
		settings:     settings.withDefaults(),
		keys:         map[Key]*KeyInfo{},
		keysBySecond: map[int64][]Key{},
	}
}

// NextOffset returns the offset of the next record to apply.
func (t *Table) NextOffset() int64 { return t.nextOffset }

// Len returns the number of keys in the table, including released ones.
func (t *Table) Len() int { return len(t.keys) }

// BodyBytes returns the total size of the stored outcome bodies in bytes.
func (t *Table) BodyBytes() int { return t.bodyBytes }

// Settings returns the limits of the table.
func (t *Table) Settings() Settings { return t.settings }

// SetWindow changes the window. Keys that the table removed under a smaller
// window stay rejected after the window grows.
func (t *Table) SetWindow(window time.Duration) {
	if window <= 0 || window == t.settings.Window {
		return
	}
	if window > t.settings.Window {
		t.raiseFloor(t.logTime.Add(-t.settings.Window))
	}
	t.settings.Window = window
	t.removeExpired()
}

// SkipTo makes the offset the next one to apply. It may be lower than the current one
// when the stream was recreated. The records before it count as missing: only keys
// created more than MaxClockSkew after the log's time of the next record are decided.
func (t *Table) SkipTo(offset int64) {
	t.nextOffset = offset
	t.hasGap = true
}

// CompleteAfter returns the creation time after which the table knows every
// claim of a key. It is zero when the table has missed no records, has evicted no
// keys and its window has not grown. CompleteAfter returns false while the time is unknown
// because no record was applied since SkipTo.
func (t *Table) CompleteAfter() (time.Time, bool) { return t.floor, !t.hasGap }

// Lookup returns the state of a key. A key that the table does not know is Expired
// when the table may have evicted or missed claims of it, and Free otherwise.
func (t *Table) Lookup(key Key) KeyInfo {
	if info, ok := t.keys[key]; ok && info.State != Free {
		return *info
	}
	if t.mayBeForgotten(key) {
		return KeyInfo{State: Expired}
	}
	return KeyInfo{}
}

// Apply applies the log record with the data, which the log appended at the offset
// and the given time. It returns the decision about each record in the data, in order,
// and none when the offset was applied before or the data cannot be decoded.
func (t *Table) Apply(offset int64, at time.Time, data []byte) []RecordDecision {
	if offset < t.nextOffset {
		return nil
	}
	t.advance(offset, at)
	records, err := Decode(data)
	if err != nil {
		return nil
	}
	decisions := make([]RecordDecision, 0, len(records))
	for _, record := range records {
		decisions = append(decisions, RecordDecision{Record: record, Decision: t.applyRecord(offset, record)})
	}
	t.enforceLimits()
	return decisions
}

// ApplyRecord applies one record that is not encoded, as if it were the log
// record at the offset.
func (t *Table) ApplyRecord(offset int64, at time.Time, record Record) Decision {
	if offset < t.nextOffset {
		return Repeated
	}
	t.advance(offset, at)
	decision := t.applyRecord(offset, record)
	t.enforceLimits()
	return decision
}

// advance prepares the table for a record at the offset: it moves the log's time
// forward, removes the keys that are now older than the window, and handles a gap
// before the offset.
func (t *Table) advance(offset int64, at time.Time) {
	if at.After(t.logTime) {
		t.logTime = at
	}
	if offset > t.nextOffset || t.hasGap {
		t.hasGap = false
		// Records are missing. A key claimed by one of them was at most
		// MaxClockSkew ahead of the log's time.
		t.raiseFloor(t.logTime.Add(t.settings.MaxClockSkew))
	}
	t.nextOffset = offset + 1
	t.removeExpired()
}

// applyRecord applies one record at the offset that the table has advanced to.
func (t *Table) applyRecord(offset int64, record Record) Decision {
	switch record.Kind {
	case KindClaim:
		return t.applyClaim(record)
	case KindRelease:
		return t.applyRelease(offset, record)
	case KindOutcome:
		return t.applyOutcome(record)
	default:
		return Repeated
	}
}

// applyClaim decides about a claim and, when it won, makes its process the holder of the key.
// It does the latter also when it decides TooOld only because the table may have evicted or
// missed claims of the key.
func (t *Table) applyClaim(record Record) Decision {
	info, ok := t.keys[record.Key]
	switch {
	case ok && info.State != Free && info.Nonce == record.Nonce:
		return Repeated
	case ok && info.State != Free:
		return Lost
	case ok && record.Base < info.releasedOffset:
		return Void
	case t.isOutsideWindow(record.Key):
		return TooOld
	}
	info = t.getOrCreate(record.Key)
	info.State = Held
	info.Nonce = record.Nonce
	info.Holder = record.Holder
	info.Fingerprint = record.Fingerprint
	if t.mayBeForgotten(record.Key) {
		// The claim may have won in a table that has read more records, so the key
		// counts as held here too.
		return TooOld
	}
	return Won
}

// applyRelease frees a key that is held by the claim with the nonce of the release, or
// records the release of a free key.
func (t *Table) applyRelease(offset int64, record Record) Decision {
	if t.isOutsideWindow(record.Key) {
		return Repeated
	}
	info := t.getOrCreate(record.Key)
	if info.State == Done || (info.State == Held && info.Nonce != record.Nonce) {
		return Repeated
	}
	// A release may precede its claim in the log; the claim is void then.
	*info = KeyInfo{releasedOffset: offset + 1}
	return Settled
}

// applyOutcome ends a key and stores the outcome. It does so whichever claim holds the
// key in this table, because an outcome shows that the call was dispatched.
func (t *Table) applyOutcome(record Record) Decision {
	if record.Outcome == nil || t.isOutsideWindow(record.Key) {
		return Repeated
	}
	info := t.getOrCreate(record.Key)
	// The first outcome stays, but a known response replaces an unknown one.
	if info.State == Done && (info.Outcome.Status != 0 || record.Outcome.Status == 0) {
		return Repeated
	}
	if info.State != Held || info.Nonce != record.Nonce {
		info.Nonce, info.Holder = record.Nonce, record.Holder
	}
	if record.Fingerprint != "" {
		info.Fingerprint = record.Fingerprint
	}
	info.State = Done
	info.Outcome = *record.Outcome
	if size := len(info.Outcome.Body); size > 0 {
		t.keysWithBody = append(t.keysWithBody, record.Key)
		t.bodyBytes += size
	}
	return Settled
}
