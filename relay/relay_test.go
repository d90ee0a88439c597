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

// fakeCopy is a topic copy with one record that was written at a given time.
type fakeCopy struct {
	mu      sync.Mutex
	written time.Time
	epoch   int64
	value   []byte
}

func (f *fakeCopy) Read(_ fuchsiarouter.Topic, _ fuchsiarouter.Position, _ time.Duration) (fuchsiarouter.KeyedBatch, bool) {
	return f.ReadNewest(0)
}

func (f *fakeCopy) ReadNewest(fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Since(f.written)
	return fuchsiarouter.KeyedBatch{Epoch: f.epoch, End: 8, Relayed: true, Age: age, Records: []fuchsiarouter.KeyedRecord{
		{Offset: 7, Key: "k", Value: f.value, Age: age},
	}}, true
}

// newClient serves the copy over HTTP and returns a client that reads it.
func newClient(t *testing.T, topics relay.TopicCopy) *relay.Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	server := &fasthttp.Server{Handler: relay.Handler(topics)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return relay.NewClient(listener.Addr().String(), relay.NewHTTPClient())
}

// TestRecordAgeOfCachedResponse checks that the age of a record stays right when its
// encoding is cached from an earlier read. Otherwise a declared weight version would seem
// to be declared later, and requests could begin on older versions for longer than allowed.
func TestRecordAgeOfCachedResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newClient(t, &fakeCopy{written: time.Now().Add(-time.Second), value: []byte("v")})
	for range 3 {
		batch, err := client.Read(fuchsiarouter.TopicOperator, fuchsiarouter.Position{Offset: 7}, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(batch.End).To(gomega.Equal(int64(8)))
		g.Expect(batch.Relayed).To(gomega.BeTrue())
		g.Expect(batch.Records).To(gomega.HaveLen(1))
		g.Expect(string(batch.Records[0].Value)).To(gomega.Equal("v"))
		g.Expect(batch.Records[0].Age).To(gomega.BeNumerically("~", batch.Age, 30*time.Millisecond))
		time.Sleep(150 * time.Millisecond)
	}
}

// TestCompressedBatch checks that a large batch, which is sent compressed, arrives
// unchanged.
func TestCompressedBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	value := make([]byte, 400<<10)
	for i := range value {
		value[i] = byte(i % 97)
	}
	client := newClient(t, &fakeCopy{written: time.Now(), value: value})
	batch, err := client.ReadNewest(fuchsiarouter.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(batch.Records[0].Value).To(gomega.Equal(value))
}

// TestCachedResponseOfEarlierEpoch guards against a cached batch that has the same offsets as a later one, but was read before the registry was restored (CONFIG).
func TestCachedResponseOfEarlierEpoch(t *testing.T) {
	g := gomega.NewWithT(t)
	topics := &fakeCopy{written: time.Now(), epoch: 1, value: []byte("lost")}
	client := newClient(t, topics)
	_, err := client.ReadNewest(fuchsiarouter.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	topics.mu.Lock()
	topics.epoch, topics.value = 2, []byte("new")
	topics.mu.Unlock()
	batch, err := client.ReadNewest(fuchsiarouter.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(batch.Epoch).To(gomega.Equal(int64(2)))
	g.Expect(string(batch.Records[0].Value)).To(gomega.Equal("new"))
}

// TestReadWithoutEpochIsRefused guards against a daemon of an earlier version that takes a batch without records, of another epoch, for the end of the topic (CONFIG).
func TestReadWithoutEpochIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	handler := relay.Handler(&fakeCopy{written: time.Now(), epoch: 1, value: []byte("v")})
	for query, status := range map[string]int{"from=7": 400, "from=7&epoch=1": 200, "newest=1": 200} {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI("/records?topic=0&" + query)
		handler(&ctx)
		g.Expect(ctx.Response.StatusCode()).To(gomega.Equal(status), query)
	}
}

// acknowledgedCopy is a fakeCopy that knows up to when it has all acknowledged changes.
type acknowledgedCopy struct{ *fakeCopy }

func (a acknowledgedCopy) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool) {
	batch, found := a.fakeCopy.ReadNewest(topic)
	batch.HasAcknowledgedAge, batch.AcknowledgedAge, batch.SettledEpoch = true, 7*time.Second, 3
	return batch, found
}

// TestAcknowledgedAge guards against a reader that takes a copy for complete although its relay doesn't know whether it is (CONFIG).
func TestAcknowledgedAge(t *testing.T) {
	g := gomega.NewWithT(t)
	unknown := &fakeCopy{written: time.Now(), epoch: 3, value: []byte("v")}
	batch, err := newClient(t, unknown).ReadNewest(fuchsiarouter.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(batch.HasAcknowledgedAge).To(gomega.BeFalse())
	g.Expect(batch.SettledEpoch).To(gomega.BeZero())
	batch, err = newClient(t, acknowledgedCopy{unknown}).ReadNewest(fuchsiarouter.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(batch.HasAcknowledgedAge).To(gomega.BeTrue())
	g.Expect(batch.AcknowledgedAge).To(gomega.Equal(7 * time.Second))
	g.Expect(batch.SettledEpoch).To(gomega.Equal(int64(3)))
}
