package platform

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Record is a record of a stream, in its JSON form on the wire.
type Record struct {
	Offset int64 `json:"offset"`
	// TimeMs is the Unix time of the append in milliseconds.
	TimeMs int64  `json:"time-ms"`
	Data   []byte `json:"data"`
}

// LogOptions limits the log. A limit of 0 means unlimited.
type LogOptions struct {
	// MaxRecords is the number of records that each stream keeps; it drops older ones.
	MaxRecords int
	// MaxRecordAge is the age above which a stream drops records.
	MaxRecordAge time.Duration
	// AppendsPerSecond is the maximum append rate of all streams together. A burst may
	// contain a quarter of a second's appends, but at least one.
	AppendsPerSecond float64
}

// Log holds append-only streams of records with limited retention. A stream exists from its
// first use.
type Log struct {
	options LogOptions
	limiter *rate.Limiter
	mu      sync.Mutex
	// streams holds the streams by name.
	streams map[string]*stream
}

// stream is a named sequence of records with consecutive offsets.
type stream struct {
	// firstOffset is the offset of the oldest record that is kept.
	firstOffset int64
	// records are the records that are kept, in order of their offsets.
	records []Record
	// appended is closed and replaced by each append.
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog(options LogOptions) *Log {
	limit, burst := rate.Inf, 0
	if options.AppendsPerSecond > 0 {
		limit, burst = rate.Limit(options.AppendsPerSecond), max(1, int(options.AppendsPerSecond/4))
	}
	return &Log{options: options, limiter: rate.NewLimiter(limit, burst), streams: map[string]*stream{}}
}

// Append adds a record to the stream with the name and returns the offset of the record, or
// false if the append rate is exceeded.
func (l *Log) Append(now time.Time, name string, data []byte) (int64, bool) {
	if !l.limiter.AllowN(now, 1) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreateStream(name)
	offset := s.nextOffset()
	s.records = append(s.records, Record{Offset: offset, TimeMs: now.UnixMilli(), Data: data})
	l.expire(now, s)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, true
}

// Read returns up to limit records of the stream with the name, beginning at the offset from.
// It returns no records if the one at that offset has expired or does not exist yet. The
// result first is the offset of the oldest record that is kept, next that of the next
// record to be appended; the channel appended is closed by the next append to the stream.
func (l *Log) Read(now time.Time, name string, from int64, limit int) (records []Record, first, next int64, appended <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreateStream(name)
	l.expire(now, s)
	if from >= s.firstOffset && from < s.nextOffset() {
		records = s.records[from-s.firstOffset:]
		records = append([]Record(nil), records[:min(limit, len(records))]...)
	}
	return records, s.firstOffset, s.nextOffset(), s.appended
}

// getOrCreateStream returns the stream with the name, which it creates if necessary. The caller
// holds the lock.
func (l *Log) getOrCreateStream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expire drops the records of the stream that exceed MaxRecords or MaxRecordAge. The caller
// holds the lock.
func (l *Log) expire(now time.Time, s *stream) {
	expired := 0
	if maxRecords := l.options.MaxRecords; maxRecords > 0 {
		expired = max(0, len(s.records)-maxRecords)
	}
	if l.options.MaxRecordAge > 0 {
		oldest := now.Add(-l.options.MaxRecordAge).UnixMilli()
		for expired < len(s.records) && s.records[expired].TimeMs < oldest {
			expired++
		}
	}
	s.records = s.records[expired:]
	s.firstOffset += int64(expired)
}

// nextOffset returns the offset of the next record to be appended.
func (s *stream) nextOffset() int64 { return s.firstOffset + int64(len(s.records)) }
