package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	poisonPath = "/book/poison"
	// poisonInterval is the time after which the poison comes again, and poisonFor the time
	// for which it does.
	poisonInterval = 1500 * time.Millisecond
	poisonFor      = 104 * time.Second
	// ordinaryWork is the time that a worker needs for an ordinary request.
	ordinaryWork = 60 * time.Millisecond
	// crashedFor is the time after which a crashed worker is back.
	crashedFor = 3 * time.Second
	// stableMs and retriesAllowed are those of the rule.
	stableMs       = 3 * time.Second
	retriesAllowed = 3
)

// playPoison sends a request again and again that crashes each worker which begins to run it,
// at one entry after the other, beside ordinary traffic. Without trouble the same request is
// harmless.
func playPoison(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.store.put(topicOperator, "config", configuration(1000))
	var mu sync.Mutex
	var runs []time.Time
	run := func(w *worker, id string, _ []byte, response http.ResponseWriter, request *http.Request) {
		if !strings.HasPrefix(request.URL.Path, poisonPath) {
			time.Sleep(ordinaryWork)
			_, _ = response.Write([]byte("done by " + id))
			return
		}
		mu.Lock()
		runs = append(runs, time.Now())
		count := len(runs)
		mu.Unlock()
		d.record.write("worker %s begins to run the poison (%d)", id, count)
		if !trouble {
			_, _ = response.Write([]byte("done by " + id))
			return
		}
		w.crash()
		time.AfterFunc(crashedFor, func() {
			if ctx.Err() == nil {
				_ = w.start()
			}
		})
	}
	for i := range 5 {
		if _, err := startWorker(d.store, d.record, "plain", i, 6, run); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(ctx, 3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	var served, lost atomic.Int64
	traffic.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			traffic.Go(func() {
				id := newAttemptID()
				a := send(ctx, d.entries[i%len(d.entries)], id, http.MethodPost, "/book/ordinary", "", []byte(id), time.Second)
				if a.err == nil && a.status == http.StatusOK {
					served.Add(1)
					return
				}
				lost.Add(1)
				d.record.write("ordinary request %v", a)
			})
		}
	})
	end := time.Now().Add(poisonFor)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		e := d.entries[i%len(d.entries)]
		id := newAttemptID()
		a := send(ctx, e, id, http.MethodPost, poisonPath, "", []byte("the same body"), time.Second)
		if a.status != http.StatusServiceUnavailable {
			d.record.write("poison sent to %s, %v", e.name, a)
		}
		time.Sleep(poisonInterval)
	}
	close(stop)
	traffic.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.write("ordinary requests: %d served, %d not", served.Load(), lost.Load())
	if !trouble {
		d.record.write("the request ran %d times and crashed nothing", len(runs))
		return len(runs) > 0 && lost.Load() == 0, nil
	}
	late := 0
	for _, at := range runs[min(3, len(runs)):] {
		if at.After(runs[2].Add(stableMs)) {
			late++
		}
	}
	d.record.write("the poison reached workers %d times, %d of them later than %v after the third crash (allowed: %d)",
		len(runs), late, stableMs, retriesAllowed)
	return late <= retriesAllowed, nil
}
