package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
)

// restorationSeeds is the number of runs of TestRandomRestorations.
const restorationSeeds = 150

// flakySource is a source that fails while it is cut.
type flakySource struct {
	fuchsiarouter.TopicReader
	cut *atomic.Bool
}

func (f flakySource) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, err := f.TopicReader.Read(topic, from, wait)
	if f.cut.Load() {
		return fuchsiarouter.KeyedBatch{}, errDown
	}
	return batch, err
}

func (f flakySource) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	if f.cut.Load() {
		return fuchsiarouter.KeyedBatch{}, errDown
	}
	return f.TopicReader.ReadNewest(topic)
}

// restorable is a registry whose writers write again what a restoration has lost.
type restorable struct {
	*memoryRegistry
	random  *rand.Rand
	version int
	// servers holds the last registration of each server, sequences the last sequence.
	servers   map[string]string
	sequences map[string]int
}

// publish writes the next configuration.
func (r *restorable) publish() {
	r.version++
	r.write(fuchsiarouter.TopicOperator, "config", fmt.Sprint(r.version))
}

// register writes the next registration of a server, empty if the server has left.
func (r *restorable) register(id string, draining, left bool) {
	r.sequences[id]++
	value := fmt.Sprintf(`{"Service":"s","Address":"127.0.0.1:1","Started":7,"Sequence":%d,"Draining":%t}`, r.sequences[id], draining)
	if left {
		value = ""
	}
	r.servers[id] = value
	r.write(fuchsiarouter.TopicServers, id, value)
}

func (r *restorable) write(topic fuchsiarouter.Topic, key, value string) {
	_, _ = r.Put(topic, key, []byte(value))
}

// restoreBoth drops a random number of records of both topics, and has the newest of each key
// written again after a random time.
func (r *restorable) restoreBoth() {
	r.change(func() {
		r.epoch++
		for topic, records := range r.records {
			kept := max(1, len(records)-r.random.IntN(6))
			r.records[topic] = records[:kept:kept]
		}
	})
	time.Sleep(time.Duration(r.random.IntN(700)) * time.Millisecond)
	r.write(fuchsiarouter.TopicOperator, "config", fmt.Sprint(r.version))
	for id, value := range r.servers {
		r.write(fuchsiarouter.TopicServers, id, value)
	}
}

// restoreInOrder drops a random number of records of both topics, and has all of them written
// again one after the other.
func (r *restorable) restoreInOrder() {
	lost := map[fuchsiarouter.Topic][]fuchsiarouter.KeyedRecord{}
	r.change(func() {
		r.epoch++
		for _, topic := range []fuchsiarouter.Topic{fuchsiarouter.TopicOperator, fuchsiarouter.TopicServers} {
			records := r.records[topic]
			kept := min(len(records), max(1, len(records)-r.random.IntN(6)))
			lost[topic] = records[kept:]
			r.records[topic] = records[:kept:kept]
		}
	})
	time.Sleep(time.Duration(r.random.IntN(700)) * time.Millisecond)
	for _, topic := range []fuchsiarouter.Topic{fuchsiarouter.TopicOperator, fuchsiarouter.TopicServers} {
		for _, record := range lost[topic] {
			r.write(topic, record.Key, string(record.Value))
			time.Sleep(time.Duration(r.random.IntN(100)) * time.Millisecond)
		}
	}
}

// expire removes the history of both topics.
func (r *restorable) expire() {
	r.change(func() { r.firstOffset = int64(len(r.records[fuchsiarouter.TopicServers])) })
}

// TestRandomRestorations guards against states that go back, or changes that are missed, when restorations, outages and relays coincide.
func TestRandomRestorations(t *testing.T) {
	for seed := range uint64(restorationSeeds) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			registry := &restorable{memoryRegistry: newRegistry(), random: random, servers: map[string]string{}, sequences: map[string]int{}}
			registry.publish()
			began := time.Now()
			settings := mirror.Settings{Clock: func() time.Duration { return time.Since(began) }, RelayWait: 100 * time.Millisecond}
			cuts := make([]atomic.Bool, 6)
			start := func(sources ...fuchsiarouter.TopicReader) *mirror.Mirror {
				return mirror.New(registry.memoryRegistry, func() []fuchsiarouter.TopicReader { return sources }, settings, zap.NewNop(), func(*catalog.View) {})
			}
			first := start(registry.memoryRegistry)
			defer first.Close()
			time.Sleep(time.Second)
			second := start(flakySource{mirrorSource{first}, &cuts[0]}, registry.memoryRegistry)
			defer second.Close()
			time.Sleep(time.Second)
			third := start(flakySource{mirrorSource{first}, &cuts[1]}, flakySource{mirrorSource{second}, &cuts[2]}, registry.memoryRegistry)
			defer third.Close()
			last := start(flakySource{mirrorSource{second}, &cuts[3]}, flakySource{mirrorSource{third}, &cuts[4]})
			defer last.Close()
			mirrors := []*mirror.Mirror{first, second, third, last}
			inForce, drained, gone := make([]int64, len(mirrors)), make([]map[string]bool, len(mirrors)), make([]map[string]bool, len(mirrors))
			check := func() {
				for i, m := range mirrors {
					if m.View().Configuration == nil {
						continue
					}
					g.Expect(m.View().Configuration.Version).To(gomega.BeNumerically(">=", inForce[i]), "seed %d", seed)
					inForce[i] = m.View().Configuration.Version
					if drained[i] == nil {
						drained[i], gone[i] = map[string]bool{}, map[string]bool{}
					}
					for id := range drained[i] {
						hasLeft, isUsed := registry.servers[id] == "", m.View().Servers[id] != nil
						g.Expect(gone[i][id] && hasLeft && isUsed).To(gomega.BeFalse(), "seed %d: %s is used again at %d", seed, id, i)
						gone[i][id] = hasLeft && (gone[i][id] || !isUsed)
					}
					for id, server := range m.View().Servers {
						g.Expect(drained[i][id] && !server.Draining).To(gomega.BeFalse(), "seed %d: %s drains no more at %d", seed, id, i)
						drained[i][id] = drained[i][id] || server.Draining
					}
				}
			}
			for range 25 {
				id := fmt.Sprint("s", random.IntN(8))
				switch random.IntN(9) {
				case 0, 1:
					registry.publish()
				case 2, 3:
					if registry.servers[id] == "" && registry.sequences[id] == 0 {
						registry.register(id, false, false)
					} else if registry.servers[id] != "" {
						registry.register(id, true, false)
					}
				case 4:
					if registry.servers[id] != "" {
						registry.register(id, true, true)
					}
				case 5:
					if seed%2 == 0 {
						registry.restoreBoth()
					} else {
						registry.restoreInOrder()
					}
				case 6:
					down := random.IntN(2) == 0
					registry.change(func() { registry.down = down })
				case 7:
					index := random.IntN(len(cuts))
					cuts[index].Store(!cuts[index].Load())
				case 8:
					registry.expire()
				}
				for range random.IntN(12) {
					time.Sleep(50 * time.Millisecond)
					check()
				}
			}
			registry.change(func() { registry.down = false })
			for index := range cuts {
				cuts[index].Store(false)
			}
			time.Sleep(6 * time.Second)
			check()
			for i, m := range mirrors {
				g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(registry.version)), "seed %d: mirror %d", seed, i)
				for id, value := range registry.servers {
					g.Expect(m.View().Servers[id] != nil).To(gomega.Equal(value != ""), "seed %d: mirror %d, server %s", seed, i, id)
				}
			}
		})
	}
}
