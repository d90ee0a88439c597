package catalog_test

import (
	"math"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// TestRankOf guards against ranks in which that of the route goes before that of the workspace, and against ranks that change where all workspaces have the same one.
func TestRankOf(t *testing.T) {
	g := gomega.NewWithT(t)
	routes := []*catalog.Route{{Rank: 2}, {Rank: 0}, {Rank: 1}}
	newConfiguration := func(ranks ...int) (*catalog.Configuration, []*catalog.Workspace) {
		configuration := catalog.NewConfiguration(1, catalog.Limits{})
		for _, route := range routes {
			configuration.AddRoute(route)
		}
		var workspaces []*catalog.Workspace
		for _, rank := range ranks {
			workspaces = append(workspaces, &catalog.Workspace{Rank: rank})
			configuration.AddWorkspace(workspaces[len(workspaces)-1], nil)
		}
		return configuration, workspaces
	}
	same, workspaces := newConfiguration(7, 7)
	for _, route := range routes {
		g.Expect(same.RankOf(route, workspaces[0])).To(gomega.Equal(route.Rank))
		g.Expect(same.RankOf(route, nil)).To(gomega.Equal(route.Rank))
	}
	differing, workspaces := newConfiguration(5, math.MinInt, 5, math.MaxInt)
	g.Expect(differing.RankOf(routes[0], workspaces[1])).To(gomega.Equal(2))
	g.Expect(differing.RankOf(routes[1], workspaces[0])).To(gomega.Equal(3), "the least urgent route of a workspace goes before the most urgent one of the next rank")
	g.Expect(differing.RankOf(routes[1], workspaces[2])).To(gomega.Equal(3))
	g.Expect(differing.RankOf(routes[0], workspaces[0])).To(gomega.Equal(5))
	g.Expect(differing.RankOf(routes[1], workspaces[3])).To(gomega.Equal(6))
}
