package claim

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Kind is the type of a record.
type Kind string

// The types of records.
const (
	// KindClaim asks for a key, so that its holder may run the call.
	KindClaim Kind = "claim"
	// KindRelease frees a key whose call did not run.
	KindRelease Kind = "release"
	// KindOutcome ends a key with the response to its call.
	KindOutcome Kind = "outcome"
	// KindMark has no effect on any key. It is appended so that readers learn the
	// current time of the log.
	KindMark Kind = "mark"
)

// MaxOutcomeBody is the size in bytes up to which a response body is stored with the
// outcome.
const MaxOutcomeBody = 8 << 10

// Nonce identifies one claim, and the release or outcome that ends it, or one mark. It is
// never reused.
type Nonce string

// Holder identifies the process that made a claim.
type Holder struct {
	ID string `json:"id"`
	// Incarnation is higher after each restart of the process.
	Incarnation int64 `json:"incarnation"`
}

// Outcome is the response to a call. The zero value means that the call was
// dispatched and its response is unknown.
type Outcome struct {
	// Status is the HTTP status.
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted is set when the response had a body that is not stored.
	Omitted bool `json:"omitted,omitempty"`
}

// Record is a claim, a release, an outcome or a mark. One record of the log carries a
// list of them.
type Record struct {
	Kind Kind `json:"kind"`
	// Key is zero in a mark.
	Key    Key    `json:"key"`
	Nonce  Nonce  `json:"nonce"`
	Holder Holder `json:"holder"`
	// Fingerprint identifies the workspace, path and body of the request, so that
	// the use of the key for another request is detected.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Base is, in a claim, the offset up to which the holder had read the stream
	// when the call arrived.
	Base int64 `json:"base,omitempty"`
	// Outcome is nil unless the kind is KindOutcome.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Encode returns the data of one log record that carries the given records.
func Encode(records []Record) ([]byte, error) {
	data, err := json.Marshal(records)
	if err != nil {
		return nil, errors.Wrap(err, "claim: encode records")
	}
	return data, nil
}

// Decode parses the data of one log record.
func Decode(data []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, errors.Wrap(err, "claim: decode records")
	}
	return records, nil
}
