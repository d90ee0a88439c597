package platformtest_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// oddRegistration is a registration in which %s stands for a field with an odd value. A field that
// occurs twice has its last value.
const oddRegistration = `{"service":"llm","address":"127.0.0.1:9","zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,` +
	`"seq":1,"models":[{"name":"m","version":1}],%s}`

// nesting is the depth of deeply nested values, which are as large as a record may be: 256 KB.
const nesting = 50_000

// oddValues are records, by key, that another writer may have left in a topic.
func oddValues() map[string]string {
	values := map[string]string{
		"nested-list":   strings.Repeat("[", nesting),
		"nested-object": strings.Repeat(`{"a":`, nesting),
		"nested-field":  fmt.Sprintf(oddRegistration, `"models":`+strings.Repeat("[", nesting)+strings.Repeat("]", nesting)),
		"nested-other":  fmt.Sprintf(oddRegistration, `"other":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
		"no-json":       "\x00\xff\xfe",
		"null":          "null",
		"number":        "1e400",
		"text":          `"ready"`,
		"empty-object":  "{}",
		"many-models":   fmt.Sprintf(oddRegistration, `"models":[`+strings.Repeat(`{"name":"m","version":1},`, 5_000)+`{}]`),
		"":              "{}",
	}
	numbers := []string{"1e400", "-1e400", "1e19", "9223372036854775807", "-9223372036854775808", "18446744073709551616", "-1", "0", "0.5", strings.Repeat("9", 5_000), `"4"`, "null", "[]", "{}", "true"}
	for index, number := range numbers {
		for _, field := range []string{"slots", "coldRemainingMs", "seq", "born"} {
			values[fmt.Sprint(field, "-", index)] = fmt.Sprintf(oddRegistration, fmt.Sprintf("%q:%s", field, number))
		}
		values[fmt.Sprint("model-version-", index)] = fmt.Sprintf(oddRegistration, `"models":[{"name":"m","version":`+number+`}]`)
		values[fmt.Sprint("layers-", index)] = fmt.Sprintf(oddRegistration, `"models":[{"name":"m","version":1,"layers":[{"from":`+number+`,"target":`+number+`,"version":1}]}]`)
	}
	for index, address := range []string{
		`"127.0.0.1:99999"`, `"127.0.0.1:-1"`, `"127.0.0.1:0"`, `"127.0.0.1"`, `":80"`, `"[::1]:80"`, `"[fe80::1%eth0]:80"`, `"256.0.0.1:80"`,
		`"host.example:80"`, `"127.0.0.1:99999999999999999999"`, `"0.0.0.0:1"`, `"255.255.255.255:1"`, `"127.0.0.1:80:80"`, `""`, "80", "null",
	} {
		values[fmt.Sprint("address-", index)] = fmt.Sprintf(oddRegistration, `"address":`+address)
	}
	for index, field := range []string{
		`"peers":"127.0.0.1:99999"`, `"peers":"127.0.0.1:-1"`, `"peers":"nowhere"`, `"peers":"127.0.0.1:1","callers":":"`, `"peers":80`,
		`"peers":"127.0.0.1:1","link":1e308,"cores":1e308`, `"peers":"127.0.0.1:1","link":1e400`, `"peers":"127.0.0.1:1","started":1e19`,
		`"peers":"127.0.0.1:1","started":9223372036854775807,"link":-1,"cores":-1`,
	} {
		values[fmt.Sprint("entry-", index)] = `{"name":"odd","availability-zone":"z","region":"r",` + field + `}`
	}
	return values
}

// putOddRecords puts the odd records into a topic, also under the keys that daemons know.
func putOddRecords(store *keyedstore.Store, topic string) {
	for key, value := range oddValues() {
		store.Put(topic, key, value)
		if topic != keyedstore.TopicServers {
			for _, known := range []string{"config", "version/m", "entry." + key} {
				store.Put(topic, known, value)
			}
		}
	}
}

// TestEntryReadsOddRecords guards against an entry that ends, or that does not follow the servers and
// the configuration any more, since another writer has left odd records in a topic.
func TestEntryReadsOddRecords(t *testing.T) {
	for _, topic := range []string{keyedstore.TopicServers, keyedstore.TopicOperator, keyedstore.TopicEntries} {
		t.Run(topic, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			putOddRecords(f.store, topic)
			f.publishConfiguration(2, "k3")
			added := f.newScriptedServer("added", "llm", whole)
			awaitRegistrations()
			f.removeServers(f.llmServers)
			g.Eventually(func() int32 {
				status, _, _, err := f.send("POST", "/llm/x", "k3", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).NotTo(gomega.Equal(http.StatusBadGateway))
				return added.runs.Load()
			}, waitTimeout).Should(gomega.BeNumerically(">", 3))
			f.publishConfiguration(3, "k1")
			// An entry that starts reads all records at once.
			address := allocateAddress()
			f.newIngress("second", address, allocateAddress(), allocateAddress())
			g.Eventually(func() bool { return f.sendPrompt(t.Context(), address, "a") }, waitTimeout).Should(gomega.BeTrue())
		})
	}
}

// TestLoaderReadsOddRecords guards against a loader that ends, or that does not follow the declared
// versions any more, since another writer has left odd records in a topic.
func TestLoaderReadsOddRecords(t *testing.T) {
	for _, topic := range []string{keyedstore.TopicServers, keyedstore.TopicOperator, keyedstore.TopicEntries} {
		t.Run(topic, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			store, err := keyedstore.New(allocateAddress())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(store.Close)
			declare := func(version int) {
				store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[`+
					`{"name":"llm","engine":{"slots":4,"chunks":1,"chunkBytes":1,"models":[{"name":"m"}]}},{"name":"o","origin":"127.0.0.1:5","zone":"z"}]}`, version))
				store.Put(keyedstore.TopicOperator, "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
			}
			putOddRecords(store, topic)
			declare(1)
			pieceAddress := allocateAddress()
			ip, _, err := net.SplitHostPort(pieceAddress)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			store.Put(keyedstore.TopicServers, "own", strings.Replace(fmt.Sprintf(oddRegistration, `"models":[]`), "127.0.0.1:9", ip+":9", 1))
			engine := &stagedEngine{startedAt: time.Now().UnixMilli(), staged: map[int][]byte{}}
			daemon, err := loader.New(loader.Settings{
				Name: "l", IP: ip, AvailabilityZone: "z", Region: "r", EngineAddress: ip + ":9", Service: "llm", LinkBandwidth: 1 << 20,
				PieceAddress: pieceAddress, PeerPort: 1,
			}, platform.NewRegistry(store.Address()), engine, pieceOrigin{}, zap.NewNop(), telemetry.NewMetrics("loader"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { daemon.Drain() })
			g.Eventually(engine.loadedVersion, waitTimeout).Should(gomega.Equal(1))
			putOddRecords(store, topic)
			declare(2)
			g.Eventually(engine.loadedVersion, waitTimeout).Should(gomega.Equal(2))
		})
	}
}
