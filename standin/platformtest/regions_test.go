package platformtest_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// startRegions starts a fleet whose servers e0 and p0 are in the availability zone z of region r, and
// e1 and p1 in y of q. The callers' entry is in z. It returns the address of an entry in y.
func startRegions(t *testing.T) (*testFleet, string) {
	f := startFleet(t)
	f.moveServers(1, "y")
	f.regions = map[string]string{"z": "r", "y": "q"}
	f.callerAddress, f.directoryAddress = allocateAddress(), allocateAddress()
	f.newIngress("e2", f.callerAddress, allocateAddress(), allocateAddress())
	remote, directory := allocateAddress(), f.directoryAddress
	f.zone, f.region, f.directoryAddress = "y", "q", ""
	f.newIngress("e3", remote, allocateAddress(), allocateAddress())
	f.directoryAddress = directory
	awaitRegistrations()
	return f, remote
}

// moveServers registers the servers with an index in an availability zone.
func (f *testFleet) moveServers(index int, zone string) {
	f.store.Put(keyedstore.TopicServers, f.llmServers[index].ID, f.llmServers[index].Registration("llm", zone, "ready", `{"name":"m","version":1}`))
	f.store.Put(keyedstore.TopicServers, f.plainServers[index].ID, f.plainServers[index].Registration("plain", zone, "ready", ""))
}

// publishRestricted publishes the configuration in which the route /stock/ allows only the regions,
// given as JSON, and so does the workspace.
func (f *testFleet) publishRestricted(version int, routeRegions, workspaceRegions string) {
	configuration := fmt.Sprintf(configurationFormat, version, `"k1","k2"`)
	for _, name := range []string{"stock", "draft"} {
		configuration = strings.Replace(configuration, `"name":"`+name+`"`, `"name":"`+name+`","allowedRegions":`+routeRegions, 1)
	}
	f.store.Put(keyedstore.TopicOperator, "config", strings.Replace(configuration, `"name":"w"`, `"name":"w","allowedRegions":`+workspaceRegions, 1))
	awaitRegistrations()
}

// expectRegionUnavailable sends a request and expects the refusal of one that no server in its
// regions can run.
func (f *testFleet) expectRegionUnavailable(g *gomega.WithT, path string) {
	status, _, header, err := f.send("POST", path, "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), path)
	g.Expect(header.Get("Fuchsiarouter-Result")).To(gomega.Equal("2013 region-unavailable"), path)
	g.Expect(header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("no"), path)
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seconds).To(gomega.BeNumerically(">", 0), path)
}

// TestRestrictedRouteStaysInRegion guards against requests of a restricted route that are served in
// another region, at first, sent again or to resume a stream, and against another refusal than 2013
// when the servers of the region are gone or the lists have no region in common.
func TestRestrictedRouteStaysInRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	f, remote := startRegions(t)
	f.publishRestricted(2, `["q"]`, `[]`)
	for _, address := range []string{f.callerAddress, remote} {
		f.callerAddress = address
		for range 6 {
			status, body, _, err := f.send("POST", "/stock/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.Equal("answer of p1"))
			status, body, _, err = f.send("POST", "/llm/stream", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.Equal(streamBody(1, 5)))
		}
	}
	g.Expect(f.allRuns(f.llmServers[:1])).To(gomega.BeEmpty())
	status, _, _, err := f.send("POST", "/book/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK), "a route without a list is served everywhere")

	f.llmServers[1].SetBehaviour(backendserver.Behaviour{StreamEvents: 5, CutAfterEvents: 2})
	_, _, _, _ = f.send("POST", "/llm/stream", "k1", "")
	f.plainServers[1].SetBehaviour(backendserver.Behaviour{RefuseRequests: true})
	f.expectRegionUnavailable(g, "/stock/x")
	g.Expect(f.allRuns(f.llmServers[:1])).To(gomega.BeEmpty())

	f.store.Put(keyedstore.TopicServers, "p1", "")
	f.store.Put(keyedstore.TopicServers, "e1", "")
	awaitRegistrations()
	runs := len(f.allRuns(f.plainServers))
	f.expectRegionUnavailable(g, "/stock/x")
	f.expectRegionUnavailable(g, "/llm/stream")
	f.publishRestricted(3, `["r"]`, `["q"]`)
	f.expectRegionUnavailable(g, "/stock/x")
	f.publishRestricted(4, `["nowhere"]`, `[]`)
	f.expectRegionUnavailable(g, "/stock/x")
	g.Expect(f.allRuns(f.plainServers)).To(gomega.HaveLen(runs))
	g.Expect(f.allRuns(f.llmServers[:1])).To(gomega.BeEmpty())
	f.publishRestricted(5, `["q","r"]`, `["r"]`)
	status, body, _, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("answer of p0"))
}

// TestDirectoryListsEntriesOfRegion guards against sending callers to entries of other regions while
// requests are restricted, and against restricting the list while none is.
func TestDirectoryListsEntriesOfRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	f, remote := startRegions(t)
	listed := func(query string) []string {
		response, err := f.client.Get("http://" + f.directoryAddress + "/fuchsiarouter/resolve?" + query)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		var wire struct {
			Addresses []string `json:"addresses"`
		}
		g.Expect(json.NewDecoder(response.Body).Decode(&wire)).To(gomega.Succeed())
		return wire.Addresses
	}
	g.Eventually(func() []string { return listed("region=q&zone=y") }, waitTimeout).Should(gomega.HaveLen(3))
	f.publishRestricted(2, `["q"]`, `[]`)
	g.Expect(listed("region=q&zone=y")).To(gomega.Equal([]string{remote}))
	g.Expect(listed("zone=y")).To(gomega.Equal([]string{remote}))
	g.Expect(listed("region=r&zone=z")).To(gomega.HaveLen(2))
	g.Expect(listed("region=none&zone=none")).To(gomega.HaveLen(3))
}
