package relay_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/relay"
)

// held is a copy with one record that was written at a time.
type held struct {
	mu      sync.Mutex
	written time.Time
	value   []byte
}

func (h *held) Read(_ fuchsiarouter.Topic, _ int64, _ time.Duration) (fuchsiarouter.KeyedBatch, bool) {
	return h.Newest(0)
}

func (h *held) Newest(fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := time.Since(h.written)
	return fuchsiarouter.KeyedBatch{End: 8, Relayed: true, Age: age, Records: []fuchsiarouter.KeyedRecord{
		{Offset: 7, Key: "k", Value: h.value, Age: age},
	}}, true
}

func serve(t *testing.T, copied relay.Copy) *relay.Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	server := &fasthttp.Server{Handler: relay.Handler(copied)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return relay.NewClient(listener.Addr().String(), relay.NewHTTP())
}

// TestRecordsAge guards against the age of a record that was encoded for an earlier
// reader: the deadline of a version would be counted from a later moment.
func TestRecordsAge(t *testing.T) {
	g := gomega.NewWithT(t)
	client := serve(t, &held{written: time.Now().Add(-time.Second), value: []byte("v")})
	for range 3 {
		batch, err := client.Read(fuchsiarouter.TopicOperator, 7, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(batch.End).To(gomega.Equal(int64(8)))
		g.Expect(batch.Relayed).To(gomega.BeTrue())
		g.Expect(batch.Records).To(gomega.HaveLen(1))
		g.Expect(string(batch.Records[0].Value)).To(gomega.Equal("v"))
		g.Expect(batch.Records[0].Age).To(gomega.BeNumerically("~", batch.Age, 30*time.Millisecond))
		time.Sleep(150 * time.Millisecond)
	}
}

// TestLargeBatches guards against a configuration that arrives damaged because it is
// compressed on the way.
func TestLargeBatches(t *testing.T) {
	g := gomega.NewWithT(t)
	value := make([]byte, 400<<10)
	for i := range value {
		value[i] = byte(i % 97)
	}
	client := serve(t, &held{written: time.Now(), value: value})
	batch, err := client.Newest(fuchsiarouter.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(batch.Records[0].Value).To(gomega.Equal(value))
}
