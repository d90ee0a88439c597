package claim

import (
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Key is an idempotency key: a UUID that carries the time of its creation.
// Callers create keys of version 7, whose claims are ordered by the log. Keys of
// version 8 are issued by a process, and only that process decides their claims.
type Key uuid.UUID

const (
	// keyTextLength is the length of the canonical text form of a UUID.
	keyTextLength = 36
	// callerKeyVersion is the UUID version of the keys that callers create,
	// issuedKeyVersion that of the keys that a process issues.
	callerKeyVersion = 7
	issuedKeyVersion = 8
)

// IssuerID identifies one incarnation, which is one run, of a process that issues keys.
// With 48 bits a collision between an ended and a running incarnation is unlikely.
type IssuerID [6]byte

// IssuerIDOf returns the issuer ID of the holder: the first 48 bits of a SHA-256 hash
// of its ID and incarnation.
func IssuerIDOf(holder Holder) IssuerID {
	digest := sha256.Sum256([]byte(holder.ID + "/" + strconv.FormatInt(holder.Incarnation, 10)))
	return IssuerID(digest[:6])
}

// NewIssuedKey returns a key of version 8 that was created at the time now. The
// number distinguishes keys that the issuer creates in the same millisecond; the key
// stores its lowest 26 bits.
func NewIssuedKey(issuer IssuerID, now time.Time, number uint32) Key {
	var key Key
	for index, ms := 5, now.UnixMilli(); index >= 0; index-- {
		key[index] = byte(ms)
		ms >>= 8
	}
	key[6] = issuedKeyVersion<<4 | byte(number>>22)&0x0f
	key[7] = byte(number >> 14)
	key[8] = 0x80 | byte(number>>8)&0x3f
	key[9] = byte(number)
	copy(key[10:], issuer[:])
	return key
}

// IssuerID returns the issuer ID of the process that issued the key, and false for a
// key created by a caller.
func (k Key) IssuerID() (IssuerID, bool) {
	return IssuerID(k[10:]), uuid.UUID(k).Version() == issuedKeyVersion
}

// ParseKey parses the canonical form of a key. It rejects a key that was created
// more than settings.Window before the time now, or more than settings.MaxClockSkew
// after it. The error is a *result.Error.
func ParseKey(text string, now time.Time, settings Settings) (Key, error) {
	settings = settings.withDefaults()
	key, err := decodeKey(text)
	if err != nil {
		return Key{}, result.KeyMalformed.Error("the idempotency key is not a UUID of version 7")
	}
	switch created := key.CreatedAt(); {
	case created.After(now.Add(settings.MaxClockSkew)):
		return Key{}, result.KeyMalformed.Error("the time of the idempotency key lies in the future")
	case created.Before(now.Add(-settings.Window)):
		return Key{}, expiredKeyError()
	default:
		return key, nil
	}
}

// CreatedAt returns the time of the key's creation, which the key stores in
// milliseconds.
func (k Key) CreatedAt() time.Time {
	var ms int64
	for _, octet := range k[:6] {
		ms = ms<<8 | int64(octet)
	}
	return time.UnixMilli(ms)
}

// String returns the key in the canonical UUID form.
func (k Key) String() string { return uuid.UUID(k).String() }

// MarshalText implements encoding.TextMarshaler. It returns the canonical UUID form.
func (k Key) MarshalText() ([]byte, error) { return uuid.UUID(k).MarshalText() }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a UUID of any
// version, because one record with a bad key would make the whole log record
// that it is batched in unreadable.
func (k *Key) UnmarshalText(text []byte) error {
	return (*uuid.UUID)(k).UnmarshalText(text)
}

// decodeKey parses a UUID of version 7 or 8 without checking its time.
func decodeKey(text string) (Key, error) {
	if len(text) != keyTextLength {
		return Key{}, errors.New("claim: key is not in the canonical form")
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, errors.Wrap(err, "claim: parse key")
	}
	if (id.Version() != callerKeyVersion && id.Version() != issuedKeyVersion) || id.Variant() != uuid.RFC4122 {
		return Key{}, errors.New("claim: key is not of version 7 or 8")
	}
	return Key(id), nil
}

// expiredKeyError returns the result for a key that is older than the window.
func expiredKeyError() *result.Error {
	return result.KeyExpired.Error("the idempotency key is older than the claims that are kept")
}
