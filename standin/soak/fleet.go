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

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

const (
	// servers is the number of servers of each service.
	servers = 3
	// keys is the number of keys at the start, each of a workspace of its own.
	keys = 12
	// events is the number of events of a stream.
	events = 6
	// revocation is the bound for keys that were taken away.
	revocation = 5 * time.Second

	services = `[{"name":"plain"},{"name":"llm","engine":{"slots":8,"models":[{"name":"m"}]}}]`
	routes   = `[{"name":"draft","host":"h.example","pathPrefix":"/llm/","kind":"stream","timeoutMs":4000,"targetLatencyMs":500,
 "priority":1,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true},
 {"name":"booking","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"service":"plain","maxAttempts":1},
 {"name":"stock","host":"h.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":1000,"service":"plain","maxAttempts":2}]`
)

// fleet is the system under test and the stand-ins around it.
type fleet struct {
	settings Settings
	store    *keyedstore.Store
	entries  []*entry
	ended    context.CancelFunc
	running  context.Context

	mu sync.Mutex
	// servers are those in use by service, all also those that have left.
	servers map[string][]*server
	all     []*server
	made    int
	version int
	// revoked holds the time at which each key was taken away.
	revoked map[string]time.Time
}

// server is a backend server behind a proxy.
type server struct {
	*stagedengine.Server
	service string
	link    *link.Link
	entry   func(state string) string
}

func newFleet(settings Settings) (*fleet, error) {
	store, err := keyedstore.New()
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	f := &fleet{settings: settings, store: store, servers: map[string][]*server{}, revoked: map[string]time.Time{}}
	f.running, f.ended = context.WithCancel(context.Background())
	for range servers {
		for _, service := range []string{"plain", "llm"} {
			if err := f.addServer(service); err != nil {
				return nil, err
			}
		}
	}
	f.configure()
	for i := range settings.Entries {
		made, err := f.newEntry(i)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, made)
		if err := made.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) close() {
	for _, one := range f.entries {
		one.kill()
	}
	f.ended()
	f.store.Close()
}

// proxy returns a link to the target and its address.
func (f *fleet) proxy(target string) (*link.Link, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "proxy")
	}
	context.AfterFunc(f.running, func() { _ = listener.Close() })
	made := link.New(link.Options{Target: target})
	go func() { _ = made.Serve(f.running, listener) }()
	return made, listener.Addr().String(), nil
}

// addServer starts a server and registers it.
func (f *fleet) addServer(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made++
	id := fmt.Sprintf("%s-%d", service, f.made)
	made, err := stagedengine.New(id, normal)
	if err != nil {
		return errors.Wrap(err, "server")
	}
	direct := made.Entry(service, "z", "ready", "")
	var wire struct{ Address string }
	if err := json.Unmarshal([]byte(direct), &wire); err != nil {
		return errors.Wrap(err, "server")
	}
	proxied, address, err := f.proxy(wire.Address)
	if err != nil {
		return err
	}
	models := ""
	if service == "llm" {
		models = `{"name":"m","version":1}`
	}
	added := &server{Server: made, service: service, link: proxied, entry: func(state string) string {
		return strings.Replace(made.Entry(service, "z", state, models), wire.Address, address, 1)
	}}
	f.servers[service] = append(f.servers[service], added)
	f.all = append(f.all, added)
	f.store.Put(keyedstore.Servers, id, added.entry("ready"))
	return nil
}

// normal is what a server does without faults.
var normal = stagedengine.Behaviour{Events: events, Pause: 20 * time.Millisecond, Hold: 5 * time.Millisecond}

// configure publishes the configuration with the keys that were not taken away.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	var workspaces []string
	for key := range keys {
		list := ""
		if _, gone := f.revoked[keyName(key)]; !gone {
			list = `"` + keyName(key) + `"`
		}
		workspaces = append(workspaces, fmt.Sprintf(`{"name":"w%d","apiKeys":[%s]}`, key, list))
	}
	f.store.Put(keyedstore.Operator, "config", fmt.Sprintf(
		`{"version":%d,"routes":%s,"services":%s,"limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000},"tenants":[%s]}`,
		f.version, routes, services, strings.Join(workspaces, ",")))
}

func keyName(key int) string { return fmt.Sprintf("key-%d", key) }

// revoke takes a key away.
func (f *fleet) revoke(key int) {
	f.mu.Lock()
	if _, gone := f.revoked[keyName(key)]; !gone {
		f.revoked[keyName(key)] = time.Now().Add(time.Hour)
	}
	f.mu.Unlock()
	f.configure()
	f.mu.Lock()
	f.revoked[keyName(key)] = time.Now()
	f.mu.Unlock()
}

// await waits until every entry is ready and serves a call.
func (f *fleet) await(ctx context.Context) error {
	end := time.Now().Add(recovery)
	client := &http.Client{Timeout: time.Second}
	for _, one := range f.entries {
		for !one.serves(client) {
			if time.Now().After(end) {
				return errors.Errorf("%s does not serve %v after the last fault", one.name, recovery)
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// write puts a file of an entry into the directory of the run.
func (f *fleet) write(name string, content []byte) (string, error) {
	path := filepath.Join(f.settings.Dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return "", errors.Wrap(err, "settings file")
	}
	return path, nil
}
