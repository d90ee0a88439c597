package supply_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/supply"
)

// TestVersionLearntWithNewerOneIsSuperseded guards against loaders that fetch an overtaken version after an outage, which others have dropped.
func TestVersionLearntWithNewerOneIsSuperseded(t *testing.T) {
	g := gomega.NewWithT(t)
	const window = 2400 * time.Millisecond
	older := supply.Declaration{DeclaredAt: 18 * time.Second, LearntAt: 26 * time.Second}
	for name, test := range map[string]struct {
		newer      supply.Declaration
		superseded bool
	}{
		"declared and learnt of soon after": {supply.Declaration{DeclaredAt: 20 * time.Second, LearntAt: 28 * time.Second}, true},
		"learnt of at once":                 {supply.Declaration{DeclaredAt: 26 * time.Second, LearntAt: 26*time.Second + 100*time.Millisecond}, true},
		"declared and learnt of later":      {supply.Declaration{DeclaredAt: 21 * time.Second, LearntAt: 29 * time.Second}, false},
	} {
		g.Expect(older.IsSupersededBy(test.newer, window)).To(gomega.Equal(test.superseded), name)
	}
}
