package platformtest_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// TestColdServerIsLimited guards against an entry that sends more requests to a server which may be cold than the configuration allows, or none, or that keeps the limit for one that says that it is not cold.
func TestColdServerIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	// With 8 requests in a second, the entries of the zone get 6.
	const allowance = 8
	configuration := fmt.Sprintf(configurationFormat, 2, `"k1"`)
	f.store.Put(keyedstore.TopicOperator, "config",
		strings.Replace(configuration, `{"name":"plain"}`, fmt.Sprintf(`{"name":"plain","coldS":60,"coldPerS":%d}`, allowance), 1))
	f.removeServers(f.plainServers)
	awaitRegistrations()
	var mu sync.Mutex
	var arrivals []time.Time
	server := f.newScriptedServer("s0", "plain", func(request *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		return whole(request)
	})
	// An entry that has just started sends nothing to a cold server.
	_, _, _, _ = f.send("POST", "/stock/x", "k1", "")
	mu.Lock()
	g.Expect(arrivals).To(gomega.BeEmpty())
	mu.Unlock()
	time.Sleep(6 * time.Second)

	// flood sends requests for some seconds and returns how many succeeded.
	flood := func() int {
		served := 0
		var callers sync.WaitGroup
		end := time.Now().Add(3 * time.Second)
		for caller := range 10 {
			callers.Go(func() {
				for number := 0; time.Now().Before(end); number++ {
					status, _, _, err := f.sendWithID(fmt.Sprint(caller, "-", number, "-", end.UnixNano()), "POST", "/stock/x", "k1", "")
					if err == nil && status == http.StatusOK {
						mu.Lock()
						served++
						mu.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		return served
	}
	served := flood()
	g.Expect(served).To(gomega.BeNumerically(">=", 6))
	slices.SortFunc(arrivals, time.Time.Compare)
	for i := allowance; i < len(arrivals); i++ {
		g.Expect(arrivals[i].Sub(arrivals[i-allowance])).To(gomega.BeNumerically(">=", time.Second), "request %d", i)
	}

	registration := scriptedRegistration("plain", server.listener.Addr().String())
	f.store.Put(keyedstore.TopicServers, "s0", strings.Replace(registration, `"seq":1`, `"seq":2`, 1))
	time.Sleep(2 * time.Second)
	g.Expect(flood()).To(gomega.BeNumerically(">", 2*served))
}
