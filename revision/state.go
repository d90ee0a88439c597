// Package revision decides which configuration is in force.
//
// Operators append signed records to one stream of the log. Every daemon applies
// the same deterministic rules to the records in the order of the log, and so
// reaches the same state without coordination. A state depends only on the stream
// up to the offset NextOffset: of two states the one with the higher offset is
// newer as a whole, so Merge takes over a peer's state completely or not at all.
//
// A state without history (on a new VM, or on one that was offline for longer than
// the log keeps records) cannot decide about an edit, because it does not know the
// revision that the edit replaces. It is restored from a snapshot in the stream or
// from a peer and continues from there.
package revision

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Errors of Merge, about a snapshot that contradicts the state.
var (
	// ErrLowerRevision reports a snapshot that would lower the revision of a section.
	ErrLowerRevision = errors.New("the snapshot would lower a revision")
	// ErrDivergentRevision reports a snapshot with a different record for the same
	// revision of a section.
	ErrDivergentRevision = errors.New("the snapshot has another text for the same revision")
)

// State is the accepted configuration. It is not safe for concurrent use.
type State struct {
	// bootstrapKeys are the public keys, in hex, that may sign the first edit of the
	// owners section.
	bootstrapKeys map[string]bool
	// hasHistory is set while the content, which is doc and sections, reflects every
	// record below nextOffset.
	hasHistory bool
	// completeFrom is the offset from which on the state has seen every record below
	// nextOffset, -1 before the first read. A snapshot made before completeFrom would
	// omit the edits in between.
	completeFrom int64
	nextOffset   int64
	// contentOffset is the offset up to which the records of the stream are reflected
	// in the content. It equals nextOffset while there is history.
	contentOffset int64
	doc           document.Document
	// sections holds the edit in force of each section that was edited.
	sections map[document.Section]AcceptedEdit
	// ownersEdits holds every accepted edit of the owners section, ownersTexts their
	// parsed texts.
	ownersEdits []AcceptedEdit
	ownersTexts []document.Owners
	// lastSnapshotOffset and lastSnapshotTime are those of the newest valid snapshot
	// of the stream; the offset is -1 before the first one.
	lastSnapshotOffset int64
	lastSnapshotTime   time.Time
}

// New returns an empty state. The bootstrapping keys, in hex, are the public keys that
// may sign the first edit of the owners section.
func New(bootstrapKeys []string) *State {
	state := &State{
		bootstrapKeys:      map[string]bool{},
		completeFrom:       -1,
		sections:           map[document.Section]AcceptedEdit{},
		lastSnapshotOffset: -1,
	}
	for _, key := range bootstrapKeys {
		state.bootstrapKeys[key] = true
	}
	return state
}

// NextOffset returns the offset of the next record to apply. A reader always reads
// from this offset, also after SkipExpired, Merge and a snapshot that restored the state.
func (s *State) NextOffset() int64 { return s.nextOffset }

// HasHistory reports whether the state can decide about edits, because it reflects every
// record below NextOffset.
func (s *State) HasHistory() bool { return s.hasHistory }

// Document returns the configuration in force. The caller must not modify it.
func (s *State) Document() document.Document { return s.doc }

// Revision returns the revision of a section, 0 for one that was never edited.
func (s *State) Revision(section document.Section) int64 { return s.sections[section].Revision }

// Revisions returns the revisions of all sections that were edited, by section name.
func (s *State) Revisions() map[string]int64 {
	revisions := make(map[string]int64, len(s.sections))
	for section, accepted := range s.sections {
		revisions[string(section)] = accepted.Revision
	}
	return revisions
}

// AcceptedEdits returns the edit in force of each section that was edited, in the order
// of document.Sections.
func (s *State) AcceptedEdits() []AcceptedEdit {
	var edits []AcceptedEdit
	for _, section := range document.Sections() {
		if accepted, ok := s.sections[section]; ok {
			edits = append(edits, accepted)
		}
	}
	return edits
}

// LastSnapshot returns the log's offset and time of the newest snapshot in the stream
// that the state found valid; the offset is -1 when there was none.
func (s *State) LastSnapshot() (int64, time.Time) { return s.lastSnapshotOffset, s.lastSnapshotTime }

// SkipExpired continues at the oldest offset that the log still has, after retention has
// removed the records below it. A state that has not read all of them can no longer
// decide about edits. Its content stays in force until a snapshot or a peer brings it up
// to date.
func (s *State) SkipExpired(oldest int64) {
	if oldest <= s.nextOffset && (s.hasHistory || s.completeFrom >= 0) {
		return
	}
	s.hasHistory = false
	s.completeFrom = oldest
	s.nextOffset = max(s.nextOffset, oldest)
}

// ApplyBatch applies the records of one read and returns their outcomes. It stops
// after a snapshot that restored the state, because that may move NextOffset back; the
// next read starts there.
func (s *State) ApplyBatch(batch fuchsiarouter.Batch) []Outcome {
	switch {
	case batch.OldestOffset > s.nextOffset:
		s.SkipExpired(batch.OldestOffset)
	case s.completeFrom < 0 && s.nextOffset == 0:
		// No record was removed, or the stream is empty. The empty state, with revision 0
		// of every section, is then the state before the first record.
		s.completeFrom, s.hasHistory = 0, true
	}
	outcomes := make([]Outcome, 0, len(batch.Records))
	for _, record := range batch.Records {
		outcome := s.Apply(record)
		outcomes = append(outcomes, outcome)
		if outcome.Verdict == VerdictRestored {
			break
		}
	}
	return outcomes
}

// Apply applies the record at the offset NextOffset and returns its outcome. A record at
// another offset is skipped.
func (s *State) Apply(logRecord fuchsiarouter.Record) Outcome {
	outcome := Outcome{Offset: logRecord.Offset, Time: logRecord.Time}
	if logRecord.Offset != s.nextOffset {
		outcome.Verdict = VerdictSkipped
		return outcome
	}
	if s.completeFrom < 0 {
		s.completeFrom = logRecord.Offset
		s.hasHistory = true
	}
	s.nextOffset++
	if s.hasHistory {
		s.contentOffset = s.nextOffset
	}
	record, err := Decode(logRecord.Data)
	if err != nil {
		outcome.Verdict, outcome.Reason = VerdictMalformed, err.Error()
		return outcome
	}
	outcome.Kind, outcome.Section = record.Kind, record.Section
	outcome.Nonce, outcome.Key = record.Nonce, record.Key
	if record.Kind == KindSnapshot {
		outcome.Verdict, err = s.applySnapshot(logRecord, *record.Snapshot)
	} else {
		outcome.Verdict, err = s.applyEdit(logRecord, record)
		outcome.Revision = s.Revision(record.Section)
	}
	if err != nil {
		outcome.Reason = err.Error()
	}
	return outcome
}

// applyEdit decides about an edit and applies it when it is accepted.
func (s *State) applyEdit(logRecord fuchsiarouter.Record, record Record) (Verdict, error) {
	if !s.hasHistory {
		return VerdictNoHistory, errors.New("the state waits for a snapshot")
	}
	if !slices.Contains(document.Sections(), record.Section) {
		return VerdictInvalid, errors.Errorf("unknown section %.80q", record.Section)
	}
	if current := s.Revision(record.Section); record.Base != current {
		return VerdictStale, errors.Errorf("base %d, but %s is at revision %d", record.Base, record.Section, current)
	}
	if err := record.Verify(); err != nil {
		return VerdictUnsigned, err
	}
	first := record.Section == document.SectionOwners && record.Base == 0
	if !first && !allowedKeys(s.doc.Owners, record.Section)[record.Key] {
		return VerdictNotOwner, errors.Errorf("key %s does not own section %s", record.Key, record.Section)
	}
	changed := s.doc
	if err := changed.Parse(record.Section, []byte(record.Content)); err != nil {
		return VerdictInvalid, err
	}
	if first && !isBootstrapEdit(record, changed.Owners, s.bootstrapKeys) {
		return VerdictNotOwner, errors.New("the first owners edit needs a bootstrapping key that it lists itself")
	}
	if err := changed.Validate(); err != nil {
		return VerdictInvalid, err
	}
	accepted := AcceptedEdit{
		Record: record, Revision: record.Base + 1,
		OwnersRevision: int64(len(s.ownersEdits)), Offset: logRecord.Offset, Time: logRecord.Time,
	}
	s.doc = changed
	s.sections[record.Section] = accepted
	if record.Section == document.SectionOwners {
		s.ownersEdits = append(s.ownersEdits, accepted)
		s.ownersTexts = append(s.ownersTexts, changed.Owners)
	}
	return VerdictAccepted, nil
}

// applySnapshot checks a snapshot of the stream against the state, or restores a state
// without history from it.
func (s *State) applySnapshot(logRecord fuchsiarouter.Record, snapshot Snapshot) (Verdict, error) {
	if snapshot.NextOffset > logRecord.Offset {
		return VerdictBadSnapshot, errors.Errorf("made at offset %d, after its own offset", snapshot.NextOffset)
	}
	if s.hasHistory {
		if err := s.checkAgreement(snapshot); err != nil {
			return VerdictBadSnapshot, err
		}
		s.lastSnapshotOffset, s.lastSnapshotTime = logRecord.Offset, logRecord.Time
		return VerdictSnapshot, nil
	}
	if snapshot.NextOffset < s.completeFrom {
		return VerdictNoHistory, errors.Errorf("made at offset %d, before the first kept record %d", snapshot.NextOffset, s.completeFrom)
	}
	if err := s.adopt(snapshot); err != nil {
		return VerdictBadSnapshot, err
	}
	s.lastSnapshotOffset, s.lastSnapshotTime = logRecord.Offset, logRecord.Time
	return VerdictRestored, nil
}

// checkAgreement checks that the snapshot does not contradict the state: no section of it
// has a higher revision than in the state, or the same revision with another record, whose
// text, signer or any other field differs. Lower revisions are allowed, because the
// snapshot reflects no more records of the stream than the state.
func (s *State) checkAgreement(snapshot Snapshot) error {
	for _, theirs := range snapshot.Sections {
		ours := s.sections[theirs.Record.Section]
		if theirs.Revision > ours.Revision {
			return errors.Errorf("section %s at revision %d, the state is at %d", theirs.Record.Section, theirs.Revision, ours.Revision)
		}
		if theirs.Revision == ours.Revision && theirs.Record != ours.Record {
			return ErrDivergentRevision
		}
	}
	return nil
}

// Snapshot returns the whole state.
func (s *State) Snapshot() Snapshot { return s.Delta(nil) }

// Delta returns the state without what a receiver has: the sections that have the same
// revision there, and the edits of the owners section up to its revision there. known
// holds the receiver's revisions by section name.
func (s *State) Delta(known map[string]int64) Snapshot {
	snapshot := Snapshot{NextOffset: s.contentOffset, Revisions: map[document.Section]int64{}}
	for _, accepted := range s.AcceptedEdits() {
		section := accepted.Record.Section
		snapshot.Revisions[section] = accepted.Revision
		if known[string(section)] != accepted.Revision {
			snapshot.Sections = append(snapshot.Sections, accepted)
		}
	}
	if knownOwners := known[string(document.SectionOwners)]; knownOwners < int64(len(s.ownersEdits)) {
		snapshot.OwnersEdits = slices.Clone(s.ownersEdits[max(knownOwners, 0):])
	}
	return snapshot
}

// SnapshotRecord returns a record with the whole state, which an entry appends to the
// stream. A state without history returns an error.
func (s *State) SnapshotRecord(nonce string) (Record, error) {
	if !s.hasHistory {
		return Record{}, errors.New("a state without history makes no snapshot")
	}
	snapshot := s.Snapshot()
	return Record{Kind: KindSnapshot, Nonce: nonce, Snapshot: &snapshot}, nil
}

// Restore is Merge for an empty state. It returns no error when Merge ignores the
// snapshot, which then leaves the state empty.
func (s *State) Restore(snapshot Snapshot) error {
	_, err := s.Merge(snapshot)
	return err
}

// Merge takes over the state of a peer if the peer's state is newer, and reports whether
// it was taken over. A snapshot without revisions is ignored. One that cannot be verified,
// would lower a revision or has another record for the same revision is an error and
// changes nothing.
func (s *State) Merge(snapshot Snapshot) (bool, error) {
	if snapshot.NextOffset <= s.contentOffset || len(snapshot.Revisions) == 0 {
		return false, nil
	}
	if err := s.adopt(snapshot); err != nil {
		return false, err
	}
	return true, nil
}

// adopt verifies a snapshot and makes it the content of the state. If no record after the
// snapshot is missing, the state then has history and reads on from the snapshot's offset.
// adopt does not repeat the checks across sections: a later release may be stricter, and
// must not reject what was accepted in the order of the log.
func (s *State) adopt(snapshot Snapshot) error {
	ownersEdits := slices.Clone(s.ownersEdits)
	for _, edit := range snapshot.OwnersEdits {
		switch {
		case edit.Revision <= int64(len(ownersEdits)):
			if edit.Revision < 1 || ownersEdits[edit.Revision-1].Record != edit.Record {
				return ErrDivergentRevision
			}
		default:
			ownersEdits = append(ownersEdits, edit)
		}
	}
	ownersTexts, err := verifyOwnersEdits(ownersEdits, s.ownersTexts, s.bootstrapKeys)
	if err != nil {
		return err
	}
	doc, sections := s.doc, maps.Clone(s.sections)
	for _, theirs := range snapshot.Sections {
		section := theirs.Record.Section
		ours := sections[section]
		switch {
		case theirs.Revision < ours.Revision:
			return errors.Wrapf(ErrLowerRevision, "section %s from %d to %d", section, ours.Revision, theirs.Revision)
		case theirs.Revision == ours.Revision && theirs.Record != ours.Record:
			return errors.Wrapf(ErrDivergentRevision, "section %s", section)
		}
		if section == document.SectionOwners {
			if theirs.Revision != int64(len(ownersEdits)) || ownersEdits[len(ownersEdits)-1].Record != theirs.Record {
				return errors.New("the owners section is not the last of its edits")
			}
		} else if err := verifySectionEdit(theirs, ownersTexts); err != nil {
			return err
		}
		if err := doc.Parse(section, []byte(theirs.Record.Content)); err != nil {
			return err
		}
		sections[section] = theirs
	}
	if sections[document.SectionOwners].Revision != int64(len(ownersEdits)) {
		return errors.New("the owners section is not the last of its edits")
	}
	for section, accepted := range sections {
		if snapshot.Revisions[section] != accepted.Revision {
			return errors.Wrapf(ErrLowerRevision, "section %s from %d to %d", section, accepted.Revision, snapshot.Revisions[section])
		}
	}
	if len(snapshot.Revisions) != len(sections) {
		return errors.New("the snapshot leaves out a section that the state lacks")
	}
	s.doc, s.sections, s.ownersEdits, s.ownersTexts = doc, sections, ownersEdits, ownersTexts
	s.contentOffset = snapshot.NextOffset
	// With a gap between the snapshot and the first remaining record the content is
	// newer, but the next edits still cannot be decided.
	if s.hasHistory = snapshot.NextOffset >= s.completeFrom; s.hasHistory {
		s.nextOffset = snapshot.NextOffset
	}
	return nil
}
