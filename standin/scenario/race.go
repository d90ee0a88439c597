package scenario

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

// publishConcurrently publishes one edit for each of the given number of editors at the same
// time. All edits change the configuration section ranks and are based on its current revision.
// Exactly one of them must be accepted.
func (s *State) publishConcurrently(editors int) error {
	base := int64(0)
	status, err := s.bench.EntryStatus(s.ctx, s.entries[0])
	if err != nil {
		return err
	}
	base = status.Revisions[string(document.SectionRanks)]
	accepted := make([]bool, editors)
	errs := make([]error, editors)
	var wg sync.WaitGroup
	for i := range editors {
		ranks := s.document.Ranks
		ranks.Ranks = append([]document.Rank{}, ranks.Ranks...)
		ranks.Ranks[1].FirstTokenMilliseconds += i + 1
		text, err := toml.Marshal(ranks)
		if err != nil {
			return err
		}
		wg.Go(func() {
			_, err := s.bench.Publisher.Edit(s.ctx, document.SectionRanks, base, string(text))
			accepted[i] = err == nil
			if !errors.Is(err, bench.ErrEditRejected) {
				errs[i] = err
			}
		})
	}
	wg.Wait()
	acceptedCount := 0
	for i := range editors {
		if errs[i] != nil {
			return errs[i]
		}
		if accepted[i] {
			acceptedCount++
		}
	}
	if acceptedCount != 1 {
		return errors.Errorf("%d of %d edits with base revision %d were accepted", acceptedCount, editors, base)
	}
	return nil
}
