package revision

import (
	"crypto/ed25519"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Stream is the name of the log stream that holds the records.
const Stream = "config"

// MaxRecordBytes is the maximum encoded size of a record in bytes. Every daemon rejects a
// larger one without decoding it.
const MaxRecordBytes = 4 << 20

// Kind is the type of a record.
type Kind string

// The types of records.
const (
	// KindEdit replaces the text of a section.
	KindEdit Kind = "edit"
	// KindSnapshot carries the whole state, for daemons without history.
	KindSnapshot Kind = "snapshot"
)

// Record is one record of the stream: a signed edit of a section, or a snapshot.
type Record struct {
	Kind    Kind             `json:"kind"`
	Section document.Section `json:"section,omitempty"`
	// Base is the revision of the section that the edit replaces, 0 for the first edit
	// of a section.
	Base int64 `json:"base,omitempty"`
	// Content is the TOML text of the section.
	Content string `json:"content,omitempty"`
	// Key is the Ed25519 public key of the signer, in hex.
	Key string `json:"key,omitempty"`
	// Signature is the Ed25519 signature of the other fields of an edit, in hex.
	Signature string `json:"signature,omitempty"`
	// Nonce identifies the record, so that its writer can find it in the stream.
	Nonce string `json:"nonce"`
	// Snapshot is nil for an edit. A snapshot record is not signed itself, because its
	// edits are.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Decode parses the encoded form of a record.
func Decode(data []byte) (Record, error) {
	var record Record
	if len(data) > MaxRecordBytes {
		return record, errors.Errorf("record of %d bytes, at most %d are allowed", len(data), MaxRecordBytes)
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	switch {
	case record.Kind != KindEdit && record.Kind != KindSnapshot:
		return Record{}, errors.Errorf("record kind %q, allowed are edit and snapshot", record.Kind)
	case (record.Kind == KindSnapshot) != (record.Snapshot != nil):
		return Record{}, errors.New("a snapshot record, and no other, carries a snapshot")
	}
	return record, nil
}

// Encode returns the encoded form that is appended to the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("record of %d bytes, at most %d are allowed", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Sign sets the key of the record to the public key of the private key, and signs the
// record.
func (r *Record) Sign(private ed25519.PrivateKey) {
	r.Key = hex.EncodeToString(private.Public().(ed25519.PublicKey))
	r.Signature = hex.EncodeToString(ed25519.Sign(private, r.signedBytes()))
}

// Verify checks the signature against the key in the record. It does not check whether
// that key may edit the section.
func (r Record) Verify() error {
	key, err := hex.DecodeString(r.Key)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return errors.Errorf("key %.80q is no Ed25519 public key in hex", r.Key)
	}
	signature, err := hex.DecodeString(r.Signature)
	if err != nil || !ed25519.Verify(key, r.signedBytes(), signature) {
		return errors.New("the signature does not match the record")
	}
	return nil
}

// signedBytes returns the bytes that the signature covers. Every field is preceded by
// its length, so that two different records never have the same bytes.
func (r Record) signedBytes() []byte {
	form := []byte("fuchsiarouter configuration record 1\n")
	for _, field := range []string{string(r.Kind), string(r.Section), r.Content, r.Key, r.Nonce} {
		form = binary.BigEndian.AppendUint64(form, uint64(len(field)))
		form = append(form, field...)
	}
	return binary.BigEndian.AppendUint64(form, uint64(r.Base))
}
