package revision

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// AcceptedEdit is an edit that took effect, with what another daemon needs to verify it.
type AcceptedEdit struct {
	Record Record `json:"record"`
	// Revision is the revision of the section that the edit created.
	Revision int64 `json:"revision"`
	// OwnersRevision is the revision of the owners section that allowed the edit, 0 for
	// the first edit of the owners section.
	OwnersRevision int64 `json:"owners"`
	// Offset is the offset of the record in the log, Time the time at which the log
	// appended it.
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
}

// Snapshot is the state after every record below the offset NextOffset.
//
// It can be verified on its own: OwnersEdits holds every accepted edit of the owners
// section, starting with the first one, which a bootstrapping key signed, and each
// section carries the revision of the owners section that allowed it. A delta is a
// snapshot without the edits and sections that the receiver has.
type Snapshot struct {
	NextOffset int64 `json:"next"`
	// Revisions are the revisions of all sections that were edited, including those that
	// a delta omits.
	Revisions   map[document.Section]int64 `json:"revisions"`
	OwnersEdits []AcceptedEdit             `json:"owners,omitempty"`
	// Sections holds the edit in force of each section that was edited.
	Sections []AcceptedEdit `json:"sections,omitempty"`
}

// allowedKeys returns the keys that the owners section allows to edit a section.
func allowedKeys(owners document.Owners, section document.Section) map[string]bool {
	allowed := map[string]bool{}
	for _, owner := range owners.Owners {
		for _, owned := range owner.Sections {
			if owned != section {
				continue
			}
			for _, key := range owner.Keys {
				allowed[key] = true
			}
		}
	}
	return allowed
}

// parseOwners parses the text of an owners section.
func parseOwners(content string) (document.Owners, error) {
	var parsed document.Document
	if err := parsed.Parse(document.SectionOwners, []byte(content)); err != nil {
		return document.Owners{}, err
	}
	return parsed.Owners, nil
}

// isBootstrapEdit reports whether the record may be the first edit of the owners section:
// it must be signed by a bootstrapping key that the new owners section lists.
func isBootstrapEdit(record Record, owners document.Owners, trusted map[string]bool) bool {
	return trusted[record.Key] && allowedKeys(owners, document.SectionOwners)[record.Key]
}

// verifyOwnersEdits verifies the edits of the owners section that follow the known ones,
// and returns the parsed texts of all edits. The first edit must be signed by one of the
// trusted bootstrapping keys, and every later one by a key that the edit before it lists
// as an owner. Known edits are not verified again, because an agent merges a delta with
// nearly every heartbeat while operators publish.
func verifyOwnersEdits(edits []AcceptedEdit, known []document.Owners, trusted map[string]bool) ([]document.Owners, error) {
	texts := slices.Clone(known)
	for i := len(known); i < len(edits); i++ {
		edit := edits[i]
		record := edit.Record
		owners, err := parseOwners(record.Content)
		if err != nil {
			return nil, errors.Wrapf(err, "owners revision %d", i+1)
		}
		if err := record.Verify(); err != nil {
			return nil, errors.Wrapf(err, "owners revision %d", i+1)
		}
		allowed := i == 0 && isBootstrapEdit(record, owners, trusted) ||
			i > 0 && allowedKeys(texts[i-1], document.SectionOwners)[record.Key]
		if record.Kind != KindEdit || record.Section != document.SectionOwners ||
			record.Base != int64(i) || edit.Revision != int64(i)+1 || !allowed {
			return nil, errors.Errorf("owners revision %d is no valid edit of the revision before it, or its key may not sign it", i+1)
		}
		texts = append(texts, owners)
	}
	return texts, nil
}

// verifySectionEdit verifies one accepted edit of a section other than owners: its
// revision must follow its base, its signature must match, and the key that signed it must
// own the section in the owners revision that the edit refers to. ownersTexts are the
// parsed texts of all revisions of the owners section, from revision 1. The text of the
// edit is not checked here.
func verifySectionEdit(accepted AcceptedEdit, ownersTexts []document.Owners) error {
	record := accepted.Record
	if accepted.OwnersRevision < 1 || accepted.OwnersRevision > int64(len(ownersTexts)) {
		return errors.Errorf("section %s refers to owners revision %d, the newest is %d", record.Section, accepted.OwnersRevision, len(ownersTexts))
	}
	if record.Kind != KindEdit || accepted.Revision != record.Base+1 || record.Base < 0 {
		return errors.Errorf("section %s is no edit whose revision follows its base", record.Section)
	}
	if !allowedKeys(ownersTexts[accepted.OwnersRevision-1], record.Section)[record.Key] {
		return errors.Errorf("section %s is signed by a key that did not own it", record.Section)
	}
	if err := record.Verify(); err != nil {
		return errors.Wrapf(err, "section %s", record.Section)
	}
	return nil
}
