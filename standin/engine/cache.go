package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the length of a cached block of a prompt, in bytes.
const blockBytes = 64

// maxEvents is the number of events that are kept for readers. When it is exceeded, the
// oldest event is dropped.
const maxEvents = 4096

// PrefixCache simulates a prefix cache of prompt blocks with LRU eviction. The key of a
// block is the hash of the version's identity and of the prompt up to the end of the
// block. A reader of the events can tell which blocks are cached.
type PrefixCache struct {
	// Capacity is the maximum number of blocks.
	Capacity int
	// EventLag is the delay until readers can see an event. EventLossRate is the share of
	// events that readers never see, from 0 to 1.
	EventLag      time.Duration
	EventLossRate float64

	mu         sync.Mutex
	random     *rand.Rand
	lru        *list.List
	blocks     map[string]*list.Element
	nextOffset int64
	events     []Event
}

// Event reports that a block was stored or evicted. Events have consecutive offsets from 0,
// so a missing offset means that an event was lost or that the reader was too late for it.
type Event struct {
	Offset int64 `json:"offset"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// PrefixHash is the key of the block, in hex.
	PrefixHash string    `json:"prefix"`
	visibleAt  time.Time // when readers can see the event
}

// NewPrefixCache returns an empty cache with a capacity in blocks. The seed determines
// which events are lost; see PrefixCache for eventLag and eventLossRate.
func NewPrefixCache(blocks int, eventLag time.Duration, eventLossRate float64, seed uint64) *PrefixCache {
	return &PrefixCache{
		Capacity:      blocks,
		EventLag:      eventLag,
		EventLossRate: eventLossRate,
		random:        rand.New(rand.NewPCG(seed, 1)),
		lru:           list.New(),
		blocks:        map[string]*list.Element{},
	}
}

// AddPrompt caches the whole blocks of a prompt for a version, evicts the least recently
// used blocks above the Capacity, and returns the length in bytes of the prefix that was
// already cached. The identity is that of Token.
func (c *PrefixCache) AddPrompt(now time.Time, identity, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBytes, contiguous := 0, true
	hash := xxhash.New()
	_, _ = hash.WriteString(identity)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = hash.WriteString(prompt[end-blockBytes : end])
		prefixHash := strconv.FormatUint(hash.Sum64(), 16)
		if element, ok := c.blocks[prefixHash]; ok {
			c.lru.MoveToFront(element)
			if contiguous {
				cachedBytes = end
			}
			continue
		}
		contiguous = false
		c.blocks[prefixHash] = c.lru.PushFront(prefixHash)
		c.addEvent(now, "stored", prefixHash)
	}
	for c.lru.Len() > c.Capacity {
		prefixHash, _ := c.lru.Remove(c.lru.Back()).(string)
		delete(c.blocks, prefixHash)
		c.addEvent(now, "evicted", prefixHash)
	}
	return cachedBytes
}

// Events returns the events from an offset on that are visible at the time now, and the
// offset from which to read next.
func (c *PrefixCache) Events(now time.Time, from int64) (events []Event, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events, next = []Event{}, from
	for _, event := range c.events {
		if event.visibleAt.After(now) {
			break
		}
		if event.Offset >= from {
			events, next = append(events, event), event.Offset+1
		}
	}
	return events, next
}

// addEvent adds an event, which readers see after EventLag, or loses it at random. The
// caller holds the lock.
func (c *PrefixCache) addEvent(now time.Time, kind, prefixHash string) {
	offset := c.nextOffset
	c.nextOffset++
	if c.random.Float64() < c.EventLossRate {
		return
	}
	c.events = append(c.events, Event{offset, kind, prefixHash, now.Add(c.EventLag)})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}
