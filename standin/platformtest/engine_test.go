package platformtest_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// stagedEngine is an in-memory model engine that loads at once.
type stagedEngine struct {
	// startedAt is the Unix time of its start in milliseconds.
	startedAt int64

	mu      sync.Mutex
	staged  map[int][]byte
	version int
	orders  int64
}

func (e *stagedEngine) Report() (fuchsiarouter.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fuchsiarouter.EngineReport{StartedAt: e.startedAt, LoadedVersions: map[string]int{"m": e.version}, AcceptedOrders: e.orders}, nil
}

func (e *stagedEngine) StagedPieces(string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for piece := range e.staged {
		held = append(held, piece)
	}
	return held, nil
}

func (e *stagedEngine) ReadStagedPiece(_ string, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staged[piece], nil
}

func (e *stagedEngine) StagePiece(_ string, piece int, content []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = content
	return nil
}

func (e *stagedEngine) OpenOrder() (fuchsiarouter.EngineOrder, error) { return e, nil }

func (e *stagedEngine) Close() error { return nil }

func (e *stagedEngine) StartLoad(_ string, version int, _ int64) (fuchsiarouter.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.orders = version, e.orders+1
	return fuchsiarouter.OrderStarted, nil
}

// loadedVersion returns the version that the engine holds.
func (e *stagedEngine) loadedVersion() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// pieceOrigin is an in-memory origin of a model of one piece.
type pieceOrigin struct{}

func (pieceOrigin) Manifest(_, model string, version int) (fuchsiarouter.PieceManifest, error) {
	sum := sha256.Sum256([]byte(fmt.Sprint(version)))
	return fuchsiarouter.PieceManifest{Model: model, Version: version, Digests: []string{hex.EncodeToString(sum[:])}}, nil
}

func (pieceOrigin) Piece(_, _ string, version, _ int) ([]byte, error) {
	return []byte(fmt.Sprint(version)), nil
}
