package scenario

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/replay"
)

// replay sends the requests of a trace, see package replay, to a fleet that it starts for this
// purpose, and compares their outcomes with those that the trace allows. It checks how many
// outcomes differ, and which promises are broken:
//
//	replay FILE                     no outcome differs, and no promise is broken
//	replay FILE missed=1            this many outcomes differ, and no promise is broken
//	replay FILE broken=double-run   exactly these promises, separated by commas, are
//	                                broken, and no outcome differs
func (s *State) replay(args arguments) error {
	path, wantBroken, wantMissed := args.operand(0), args.stringOption("broken", ""), args.intOption("missed", 0)
	if err := args.check(); err != nil {
		return err
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(s.workDir, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	trace, err := replay.Read(file)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(s.workDir, "replay-")
	if err != nil {
		return err
	}
	b, err := bench.New(s.binDir, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	report, err := replay.Play(s.ctx, b, trace, replay.Options{Configurations: s.exampleDir})
	if err != nil {
		return err
	}
	var broken []string
	for _, violation := range report.Violations {
		broken = append(broken, string(violation.Promise))
	}
	slices.Sort(broken)
	if got := strings.Join(slices.Compact(broken), ","); got != wantBroken || len(report.Failures) != wantMissed {
		return errors.Errorf("broken promises %q, not %q; %d outcomes differ, not %d: %v", got, wantBroken, len(report.Failures), wantMissed, report.Err())
	}
	return nil
}
