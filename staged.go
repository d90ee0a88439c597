package fuchsiarouter

// StagedEngine is a model engine that loads a version from pieces which were staged
// on its machine before. Only the agent on that machine can stage pieces.
type StagedEngine interface {
	Report() (EngineReport, error)
	// Held returns the pieces that are staged for a model. They are of whatever
	// version was staged last, and not verified.
	Held(model string) ([]int, error)
	// Staged returns a staged piece as it is now.
	Staged(model string, piece int) ([]byte, error)
	Stage(model string, piece int, content []byte) error
	// Start orders the engine to load what is staged as a version. Expected is the
	// number of orders that the engine has accepted; another number refuses the order.
	Start(model string, version int, expected int64) (OrderAnswer, error)
}

// EngineReport is what a staged engine reports of itself.
type EngineReport struct {
	// Born is the Unix time in ms of its start, 0 when it does not say.
	Born int64
	// Versions are the versions that it holds whole, by model.
	Versions map[string]int
	// Busy is set while an order is in progress.
	Busy bool
	// Orders is the number of orders that it has accepted.
	Orders  int64
	Waiting int
	Running int
}

// OrderAnswer is the answer of a staged engine to an order.
type OrderAnswer int

// The answers.
const (
	// OrderBegun means that the order is in progress.
	OrderBegun OrderAnswer = iota
	// OrderDone means that it was in effect before.
	OrderDone
	// OrderRefused means that it does not fit the state of the engine.
	OrderRefused
)

// PieceManifest lists the digests of the pieces of a version.
type PieceManifest struct {
	Model   string
	Version int
	// Digests are SHA-256 digests in hex.
	Digests []string
}

// PieceOrigin is the store that versions are drawn from in pieces. Its link is slow
// and its answers may be damaged.
type PieceOrigin interface {
	Manifest(address, model string, version int) (PieceManifest, error)
	Piece(address, model string, version, piece int) ([]byte, error)
}
