package fuchsiarouter

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrUnanswered reports that a staged engine gave no answer to a call that was sent. The engine may
// have carried out the call, or may still carry it out.
var ErrUnanswered = errors.New("no answer of the engine")

// PauseError reports that a staged engine has turned a call away and wants no further one of this
// machine for a time.
type PauseError struct{ Pause time.Duration }

// Error implements error.
func (e *PauseError) Error() string { return "the engine asks for a pause of " + e.Pause.String() }

// StagedEngine is a model engine that loads a version from pieces, the parts of the
// version's weights, which the daemon on its VM has stored at the engine (staged) before.
// No other daemon can stage pieces there. The errors of its calls are PauseErrors if it asks for a
// pause.
type StagedEngine interface {
	// Report requests the status of the engine.
	Report() (EngineReport, error)
	// StagedPieces returns the indexes of the pieces that are staged for a model. They
	// belong to the version that was staged last, which the engine doesn't name, and are
	// not verified.
	StagedPieces(model string) ([]int, error)
	// ReadStagedPiece returns the current content of a staged piece, or nil if the piece is not
	// staged.
	ReadStagedPiece(model string, piece int) ([]byte, error)
	// StagePiece stores a piece at the engine. piece is its index in the manifest. It waits much
	// longer for the answer than the other methods: the engine may store the piece as long as it
	// has not answered. The error is ErrUnanswered if the engine may still store the piece.
	StagePiece(model string, piece int, content []byte) error
	// OpenOrder opens a connection for an order to the engine. The order can't reach a later
	// incarnation of the engine.
	OpenOrder() (EngineOrder, error)
}

// EngineOrder is a connection for one order to a staged engine.
type EngineOrder interface {
	// StartLoad orders the engine to load the staged pieces as a version. It returns when
	// the engine has accepted or refused the order, not when the version is loaded. expected
	// is the number of orders that the engine should have accepted so far; if the number
	// differs, the engine refuses the order. It waits for the answer as
	// StagedEngine.StagePiece does. The error is ErrUnanswered if the engine may still accept
	// the order.
	StartLoad(model string, version int, expected int64) (OrderResult, error)
	// Close ends the connection. It must not be called before StartLoad has returned.
	Close() error
}

// EngineReport is the status that a staged engine reports.
type EngineReport struct {
	// StartedAt is the Unix time of the engine's start in milliseconds, or 0 if the
	// engine doesn't report it.
	StartedAt int64
	// LoadedVersions holds the number of the version that is completely loaded, by model.
	LoadedVersions map[string]int
	// Busy is set while an order is in progress.
	Busy bool
	// AcceptedOrders is the number of orders, see EngineOrder.StartLoad, that the engine
	// has accepted. The next order repeats it, so that the engine refuses an order that is
	// based on an outdated report.
	AcceptedOrders int64
	// Leaving is set once the engine says that it takes no further requests.
	Leaving bool
	// Waiting is the number of requests that wait at the engine, Running the number that
	// it runs.
	Waiting int
	Running int
}

// OrderResult is the response of a staged engine to an order.
type OrderResult int

// The results of an order.
const (
	// OrderStarted means that the order is in progress.
	OrderStarted OrderResult = iota
	// OrderAlreadyDone means that the engine already had the ordered version, so nothing
	// was started.
	OrderAlreadyDone
	// OrderRefused means that the engine has another number of accepted orders than
	// expected, or is in a state in which it cannot start the order.
	OrderRefused
)

// PieceManifest lists the digests of the pieces of a version.
type PieceManifest struct {
	Model   string
	Version int
	// Digests are the SHA-256 digests of the pieces in hex, by piece index.
	Digests []string
}

// PieceOrigin is the store from which versions are downloaded in pieces. Its link is slow
// and its responses may be corrupt. Each call names the address of the origin, which a
// change of the configuration can replace.
type PieceOrigin interface {
	// Manifest returns the manifest of a version.
	Manifest(address, model string, version int) (PieceManifest, error)
	// Piece returns the bytes of a piece. The caller must compare them with the digest in
	// the manifest.
	Piece(address, model string, version, piece int) ([]byte, error)
}

// StateNumber orders the states that a loader announces of its engine. It is the Unix time in ms,
// or the number after the last one if the clock was set back. A state without a number has 0.
type StateNumber int64

// maxNumberLag bounds the difference of two numbers from which their order is concluded. After
// the clock was set back and the loader was restarted, numbers are lower than before.
const maxNumberLag = StateNumber(time.Minute / time.Millisecond)

// Next returns the number of a state that is announced after the one with this number.
func (n StateNumber) Next(now time.Time) StateNumber { return max(n+1, StateNumber(now.UnixMilli())) }

// IsSupersededBy reports whether the state with this number is no newer than the other state of the
// same engine.
func (n StateNumber) IsSupersededBy(other StateNumber) bool {
	return n != 0 && n <= other && other-n < maxNumberLag
}
