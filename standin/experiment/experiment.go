// Package experiment measures the decision packages (such as spread, routing and
// rank) and the daemons against the stated targets.
//
// An experiment is a function of a seed that reports figures. Each figure is
// printed as one JSON line with its bound. The bound comes from the stated
// target, never from an earlier measurement. Most experiments also run a simple
// baseline, a plainer design under the same conditions, so that the figures can
// be compared.
//
// The measured system has two kinds of daemons. An entry is the ingress proxy
// that receives the requests of callers; an agent runs on each backend server VM
// in front of the model engine, which executes the requests. The platform, the
// infrastructure that runs the VMs, gives them an append-only log, through which
// operators publish the configuration and entries claim the idempotency keys of
// calls that must not run twice, and an origin, the store of the model versions.
package experiment

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Figure is one measured value with its bound. It is printed as a JSON line.
type Figure struct {
	Name  string  `json:"figure"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the stated target, or nil for a figure without one, such as that
	// of a baseline.
	Bound *float64 `json:"bound,omitempty"`
	// Holds is whether the value meets the bound. It is true without a bound.
	Holds bool `json:"holds"`
}

// AtMost returns a figure that holds when value is at most bound.
func AtMost(name string, value float64, unit string, bound float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: &bound, Holds: value <= bound}
}

// AtLeast returns a figure that holds when value is at least bound.
func AtLeast(name string, value float64, unit string, bound float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: &bound, Holds: value >= bound}
}

// Unbounded returns a figure without a bound.
func Unbounded(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Holds: true}
}

// Run runs an experiment and passes each figure to report. The seed determines
// the random choices; an experiment without random choices ignores it.
type Run func(seed uint64, report func(Figure)) error

// ErrBoundMissed is returned by Print when at least one figure missed its bound.
var ErrBoundMissed = errors.New("a figure missed its bound")

// Print runs the experiment and writes each figure as a JSON line. It returns
// ErrBoundMissed after all figures are written if one of them missed its bound.
func Print(w io.Writer, run Run, seed uint64) error {
	encoder := json.NewEncoder(w)
	missed := false
	var failed error
	err := run(seed, func(figure Figure) {
		missed = missed || !figure.Holds
		if err := encoder.Encode(figure); err != nil && failed == nil {
			failed = err
		}
	})
	switch {
	case err != nil:
		return err
	case failed != nil:
		return errors.Wrap(failed, "write figure")
	case missed:
		return ErrBoundMissed
	default:
		return nil
	}
}
