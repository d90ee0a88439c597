package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["dark"] = playDark }

const (
	// routeTimeout is the timeoutMs of the routes, clientDeadline the time that clients wait.
	routeTimeout   = 600 * time.Millisecond
	clientDeadline = 1200 * time.Millisecond
	// answerSlack is that of the rule.
	answerSlack = 500 * time.Millisecond
)

// playDark lets one of three workers go dark while clients send requests. Without trouble no
// worker does.
func playDark(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.store.put(topicOperator, "config", configuration(int(routeTimeout.Milliseconds())))
	run := func(_ *worker, id string, _ []byte, response http.ResponseWriter, _ *http.Request) {
		time.Sleep(15 * time.Millisecond)
		_, _ = response.Write([]byte("done by " + id))
	}
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(d.store, d.record, "plain", i, 6, run)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := d.startEntries(ctx, 3); err != nil {
		return false, err
	}
	var requests sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	// A worker's registration is removed after three heartbeats of silence.
	const heartbeats = 3600 * time.Millisecond
	began := time.Now()
	went := false
	for i := 0; time.Since(began) < 10*time.Second; i++ {
		if trouble && !went && time.Since(began) > 3*time.Second {
			went = true
			if err := workers[0].goDark(ctx); err != nil {
				return false, err
			}
			time.AfterFunc(heartbeats, func() { d.store.put(topicServers, workers[0].id, "") })
		}
		e, id := d.entries[i%len(d.entries)], newAttemptID()
		requests.Go(func() {
			a := send(ctx, e, id, http.MethodPost, "/book/credit", "", []byte(id), clientDeadline)
			if a.err == nil && a.took <= routeTimeout {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
			if a.took > routeTimeout+answerSlack {
				late++
			}
			d.record.write("sent to %s, %v", e.name, a)
		})
		time.Sleep(16 * time.Millisecond)
	}
	requests.Wait()
	d.record.write("%d requests were unanswered at the route's timeout of %v, %d of them still %v later", unanswered, routeTimeout, late, answerSlack)
	if ctx.Err() != nil {
		return false, fmt.Errorf("the time is over")
	}
	return late*2 <= unanswered, nil
}
