package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
)

const (
	// serversPerService is the number of registered servers of each service. While a server
	// is being replaced, there is one more.
	serversPerService = 3
	// keyCount is the number of API keys before any is revoked. Each key belongs to a
	// workspace of its own.
	keyCount = 12
	// eventsPerStream is the number of events of a complete stream.
	eventsPerStream = 6
	// revocationBound is the time after the revocation of an API key from which entries must
	// reject the key. It equals revokeMs in nodeFileFormat.
	revocationBound = 5 * time.Second

	// servicesJSON and routesJSON are the services and routes of the configuration. There
	// is one route of each kind: "stream" for streams that can be resumed, "unsafe" for
	// non-repeatable requests and "safe" for repeatable ones.
	servicesJSON = `[{"name":"plain"},{"name":"llm","engine":{"slots":8,"models":[{"name":"m"}]}}]`
	routesJSON   = `[{"name":"draft","host":"h.example","pathPrefix":"/llm/","kind":"stream","timeoutMs":4000,"targetLatencyMs":500,
 "priority":1,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true},
 {"name":"booking","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"service":"plain","maxAttempts":1},
 {"name":"stock","host":"h.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":1000,"service":"plain","maxAttempts":2}]`
)

// plan is what a kind of run sets up its fleet with.
type plan struct {
	// stopGrace is the grace period of the entries.
	stopGrace time.Duration
	// services are the names of the services, servicesJSON and routesJSON the services and the
	// routes of the configuration.
	services                 []string
	servicesJSON, routesJSON string
}

// faultPlan is the plan of the runs with all kinds of faults.
var faultPlan = plan{stopGrace: 4 * time.Second, services: []string{"plain", "llm"}, servicesJSON: servicesJSON, routesJSON: routesJSON}

// fleet holds the entries under test, and stand-ins of the store and backend servers.
type fleet struct {
	settings Settings
	plan     plan
	store    *keyedstore.Store
	entries  []*entry
	// cancel ends ctx, which stops the proxies.
	cancel context.CancelFunc
	ctx    context.Context

	mu sync.Mutex
	// servers holds the servers of each service, by the name of the service. It contains
	// neither draining nor removed servers.
	servers map[string][]*server
	// allServers also includes the servers that were replaced.
	allServers []*server
	// serversStarted counts the servers of all services. The IDs of servers contain it.
	serversStarted int
	// registrations holds the newest registration of each server by ID, empty for one that was
	// removed.
	registrations map[string]string
	// configuration is the configuration that was published last, configVersion its version.
	configuration string
	configVersion int
	// revokedAt holds the time at which each revoked API key was revoked, by key. It is in
	// the future while the revocation is being published; see revokeKey.
	revokedAt map[string]time.Time
}

// server is a backend server that entries reach through a proxy.
type server struct {
	*backendserver.Server
	service string
	// link is the proxy in front of the server, whose faults are recorded in disturbances.
	link         *link.Link
	disturbances disturbances
	// registration returns the value that registers the server in the store, with the
	// address of the proxy. The state is "ready" or "draining".
	registration func(state string) string
}

// newFleet starts the store, the backend servers and the entries, and publishes the
// configuration. It does not wait until the entries are serving.
func newFleet(settings Settings, setup plan) (*fleet, error) {
	store, err := keyedstore.New("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	f := &fleet{settings: settings, plan: setup, store: store, servers: map[string][]*server{}, registrations: map[string]string{}, revokedAt: map[string]time.Time{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for range serversPerService {
		for _, service := range setup.services {
			if err := f.addServer(service); err != nil {
				return nil, err
			}
		}
	}
	f.publishConfiguration()
	for i := range settings.Entries {
		e, err := f.newEntry(i)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startCrowd starts the hostile callers of a run.
func (f *fleet) startCrowd(ctx context.Context) *crowd {
	var targets []hostileTarget
	var processes []*process
	for _, e := range f.entries {
		targets, processes = append(targets, e.hostileTargets()...), append(processes, &e.process)
	}
	return startCrowd(ctx, f.settings.Seed, f.settings.HostileCallers, targets, processes)
}

// close kills the entries and stops the proxies and the store.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.kill()
	}
	f.cancel()
	f.store.Close()
}

// startProxy starts a proxy that forwards connections to the target address, and returns it
// with the address on which it listens.
func (f *fleet) startProxy(target string) (*link.Link, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "proxy")
	}
	context.AfterFunc(f.ctx, func() { _ = listener.Close() })
	proxy := link.New(link.Options{Target: target})
	go func() { _ = proxy.Serve(f.ctx, listener) }()
	return proxy, listener.Addr().String(), nil
}

// addServer starts a server of the service behind a proxy and registers it in the store as
// ready.
func (f *fleet) addServer(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serversStarted++
	id := fmt.Sprintf("%s-%d", service, f.serversStarted)
	backend, err := backendserver.New(id, normalBehaviour)
	if err != nil {
		return errors.Wrap(err, "server")
	}
	directRegistration := backend.Registration(service, "z", "ready", "")
	var decoded struct{ Address string }
	if err := json.Unmarshal([]byte(directRegistration), &decoded); err != nil {
		return errors.Wrap(err, "server")
	}
	proxy, proxyAddress, err := f.startProxy(decoded.Address)
	if err != nil {
		return err
	}
	models := ""
	if service != "plain" {
		models = `{"name":"m","version":1}`
	}
	added := &server{Server: backend, service: service, link: proxy, registration: func(state string) string {
		return strings.Replace(backend.Registration(service, "z", state, models), decoded.Address, proxyAddress, 1)
	}}
	f.servers[service] = append(f.servers[service], added)
	f.allServers = append(f.allServers, added)
	f.registrations[id] = added.registration("ready")
	f.store.Put(keyedstore.TopicServers, id, f.registrations[id])
	return nil
}

// register puts the registration of a server into the store.
func (f *fleet) register(id, registration string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registrations[id] = registration
	f.store.Put(keyedstore.TopicServers, id, registration)
}

// normalBehaviour is the behaviour of a server without injected faults.
var normalBehaviour = backendserver.Behaviour{StreamEvents: eventsPerStream, EventInterval: 20 * time.Millisecond, ResponseDelay: 5 * time.Millisecond}

// publishConfiguration publishes the configuration with all API keys that have not been
// revoked.
func (f *fleet) publishConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A version must be higher than the previous one, but need not follow it directly.
	f.configVersion += 3
	var workspaces []string
	for index := range keyCount {
		apiKeys := ""
		if _, revoked := f.revokedAt[apiKey(index)]; !revoked {
			apiKeys = `"` + apiKey(index) + `"`
		}
		workspaces = append(workspaces, fmt.Sprintf(`{"name":"w%d","apiKeys":[%s]}`, index, apiKeys))
	}
	f.configuration = fmt.Sprintf(
		`{"version":%d,"routes":%s,"services":%s,"limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000},"tenants":[%s]}`,
		f.configVersion, f.plan.routesJSON, f.plan.servicesJSON, strings.Join(workspaces, ","))
	f.store.Put(keyedstore.TopicOperator, "config", f.configuration)
}

// apiKey returns the API key with the index, from 0 to keyCount-1.
func apiKey(index int) string { return fmt.Sprintf("key-%d", index) }

// revokeKey publishes a configuration without the API key with the index, and records the
// time after that as the time of the revocation. It marks the key as revoked before, with a
// time in the future, so that a request that is sent meanwhile counts neither as sent too
// late if it runs, nor as wrongly rejected if it does not. If the key was revoked before, only
// the time of the revocation changes, to that of the new publication.
func (f *fleet) revokeKey(index int) {
	f.mu.Lock()
	if _, revoked := f.revokedAt[apiKey(index)]; !revoked {
		f.revokedAt[apiKey(index)] = time.Now().Add(time.Hour)
	}
	f.mu.Unlock()
	f.publishConfiguration()
	f.mu.Lock()
	f.revokedAt[apiKey(index)] = time.Now()
	f.mu.Unlock()
}

// awaitServing waits until every entry is serving, as isServing reports. It returns an error
// if that takes longer than recoveryTimeout in total.
func (f *fleet) awaitServing(ctx context.Context) error {
	deadline := time.Now().Add(recoveryTimeout)
	client := &http.Client{Timeout: time.Second}
	for _, e := range f.entries {
		for !e.isServing(client) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not serving after %v", e.name, recoveryTimeout)
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// writeFile writes a file into the working directory of the run and returns its path.
func (f *fleet) writeFile(name string, content []byte) (string, error) {
	path := filepath.Join(f.settings.WorkDir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return "", errors.Wrap(err, "settings file")
	}
	return path, nil
}
