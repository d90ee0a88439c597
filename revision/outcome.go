package revision

import (
	"fmt"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Verdict says whether a record took effect, and if not, why.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted is an edit that is now in force.
	VerdictAccepted Verdict = "accepted"
	// VerdictStale is an edit whose base is not the current revision of its section,
	// because another edit came first or the edit was appended twice.
	VerdictStale Verdict = "stale"
	// VerdictUnsigned is an edit whose signature does not match its content and key.
	VerdictUnsigned Verdict = "unsigned"
	// VerdictNotOwner is an edit signed by a key that does not own the section. The first
	// edit of the owners section has this verdict when its key is no bootstrapping key or
	// does not own the section according to the edit itself.
	VerdictNotOwner Verdict = "not-owner"
	// VerdictInvalid is an edit of an unknown section, or one that would make the
	// document invalid.
	VerdictInvalid Verdict = "invalid"
	// VerdictMalformed is a record that cannot be decoded.
	VerdictMalformed Verdict = "malformed"
	// VerdictNoHistory is an edit that a state without history cannot decide about, or
	// a snapshot that was made too early to restore the state from.
	VerdictNoHistory Verdict = "no-history"
	// VerdictRestored is a snapshot from which a state without history was restored.
	// Reading continues at the offset at which the snapshot was made.
	VerdictRestored Verdict = "restored"
	// VerdictSnapshot is a snapshot that does not contradict the state. It changes no
	// section.
	VerdictSnapshot Verdict = "snapshot"
	// VerdictBadSnapshot is a snapshot that cannot be verified, that contradicts the
	// state, or that claims to include records after itself.
	VerdictBadSnapshot Verdict = "bad-snapshot"
	// VerdictSkipped is a record before or after the next expected offset. It changes
	// nothing.
	VerdictSkipped Verdict = "skipped"
)

// Outcome is the verdict about one record, with the fields that identify the record. Kind,
// Section, Nonce and Key are empty when the record was not decoded.
type Outcome struct {
	// Offset is the offset of the record in the log, Time the time at which the log
	// appended it.
	Offset  int64            `json:"offset"`
	Time    time.Time        `json:"time"`
	Verdict Verdict          `json:"verdict"`
	Kind    Kind             `json:"kind,omitempty"`
	Section document.Section `json:"section,omitempty"`
	// Revision is the revision of the section after the record, 0 for a snapshot and
	// for a record that was not decoded.
	Revision int64  `json:"revision,omitempty"`
	Nonce    string `json:"nonce,omitempty"`
	// Key is the public key of the signer, in hex.
	Key string `json:"key,omitempty"`
	// Reason says why the record did not take effect. It is empty when the record did,
	// and for a record that was skipped.
	Reason string `json:"reason,omitempty"`
}

// String returns the outcome as one readable line.
func (o Outcome) String() string {
	return fmt.Sprintf("offset %d: %s %s revision %d %s", o.Offset, o.Verdict, o.Section, o.Revision, o.Reason)
}
