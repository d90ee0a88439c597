package operator

import (
	"context"
	"crypto/ed25519"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// publication appends one signed edit to the log.
//
// The response to an append can be lost after the append took effect. The record is
// therefore searched for in the log by its nonce before it is appended again. Appending
// the same record twice is harmless: the base of the second copy is no longer the
// current revision, so every reader rejects it.
type publication struct {
	*session
	section document.Section
	// content is the new TOML text of the section, base the revision that it replaces,
	// and key the private key that signs the edit.
	content string
	base    int64
	key     ed25519.PrivateKey
	// offset is the offset of the record in the log. It is valid once findOutcome has
	// found the record.
	offset int64
	// mayBeAppended is set once an append may have taken effect.
	mayBeAppended bool
}

// appendUntilDecided signs the edit and appends it to the log until its record is found
// there. It returns nil if the edit was accepted, and an error if the edit was rejected or
// the context ended before.
func (p *publication) appendUntilDecided(ctx context.Context) error {
	if current := p.state.Revision(p.section); p.base != current {
		return p.conflictError()
	}
	nonce, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "generate nonce")
	}
	record := revision.Record{
		Kind: revision.KindEdit, Section: p.section, Base: p.base, Content: p.content, Nonce: nonce.String(),
	}
	record.Sign(p.key)
	data, err := record.Encode()
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	for {
		_, appendErr := p.log.Append(ctx, revision.Stream, record.Nonce, data)
		if !errors.Is(appendErr, platform.ErrUnavailable) && !errors.Is(appendErr, platform.ErrRateLimited) {
			p.mayBeAppended = true
		}
		decided, err := p.findOutcome(ctx, record.Nonce)
		if decided {
			return err
		}
		if appendErr != nil {
			p.warn("append: %v; reading the log before appending again", appendErr)
		}
		if err := p.waitPollInterval(ctx); err != nil {
			if !p.mayBeAppended {
				return withExitCode(ExitUnavailable, errors.Wrap(appendErr, "nothing was published"))
			}
			return exitErrorf(ExitOutcomeUnknown, "record %s may have been appended; check the history once the log is available: %v", record.Nonce, appendErr)
		}
		// Read the log again, so that a record that an append added after the first check
		// is not appended a second time.
		if decided, err := p.findOutcome(ctx, record.Nonce); decided {
			return err
		}
	}
}

// findOutcome reads the log to its end. It reports whether the record with the nonce was
// found there, and returns an error if the record was rejected. An error of the log is
// only a warning, because the caller reads the log again.
func (p *publication) findOutcome(ctx context.Context, nonce string) (bool, error) {
	outcomes, err := p.readLog(ctx)
	if err != nil {
		p.warn("read the log: %v", err)
	}
	for _, outcome := range outcomes {
		if outcome.Nonce != nonce {
			continue
		}
		p.offset = outcome.Offset
		switch outcome.Verdict {
		case revision.VerdictAccepted:
			return true, nil
		case revision.VerdictStale:
			return true, p.conflictError()
		case revision.VerdictNotOwner, revision.VerdictUnsigned:
			return true, withExitCode(ExitRefused, errors.New(outcome.Reason))
		case revision.VerdictInvalid:
			// Another section changed after the edit was validated.
			return true, exitErrorf(ExitInvalid, "rejected because another section changed: %s", outcome.Reason)
		default:
			return true, errors.Errorf("the record is %s: %s", outcome.Verdict, outcome.Reason)
		}
	}
	return false, nil
}

// conflictError returns the error for an edit that is not based on the current revision of
// its section. It names that revision and the public key of its signer.
func (p *publication) conflictError() error {
	current := p.state.Revision(p.section)
	by := ""
	for _, edit := range p.state.AcceptedEdits() {
		if edit.Record.Section == p.section {
			by = ", signed by " + edit.Record.Key
		}
	}
	return exitErrorf(ExitConflict, "lost the race: %s is now at revision %d%s; compare with diff and publish with --base %d",
		p.section, current, by, current)
}

// countApplied returns how many of the VMs that are not dead in the status of an entry
// have applied the edit, and the number of all VMs that are not dead.
func (p *publication) countApplied(status peer.StatusResponse) (applied, all int) {
	for _, member := range status.Members {
		if member.Status == fleet.StatusDead {
			continue
		}
		all++
		if member.Revisions[string(p.section)] > p.base {
			applied++
		}
	}
	return applied, all
}
