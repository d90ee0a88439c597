package main

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

const (
	caseHost = "voka93.example"
	casePath = "/filo73/de11/"
	caseKey  = "jnbanfqasnmgkcuyj8pj"
	// stable is stableMs of the settings.
	stable = 3 * time.Second
	// workerDown is how long a worker is away after a crash.
	workerDown = 3 * time.Second
)

// configuration returns a configuration with one route to one plain service. The tenant has the keys.
func configuration(version int, keys ...string) string {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-book", "host": caseHost, "pathPrefix": casePath, "kind": "unsafe", "timeoutMs": 600, "targetLatencyMs": 100,
			"priority": 2, "service": "wuno96b", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "bozi300", "apiKeys": keys, "priority": 1},
			map[string]any{"name": "jede795", "apiKeys": []string{"bvk9m68k7b2ex5wa5xwy"}, "priority": 1},
		},
	})
	return string(body)
}

// playDeadly plays a request that crashes each worker that begins to run it and comes again every
// second, with the same path, caller and body. BUDGET: it reaches workers in at most three retries that
// are sent later than stableMs after it has crashed the third worker.
func playDeadly(r *record, trouble bool) (bool, error) {
	const deadlyBody, duration, retryInterval = "deadly", 100 * time.Second, time.Second
	var mu sync.Mutex
	reached := map[string]time.Time{}
	var crashes []time.Time
	handle := func(w *worker, rw httpWriter, request *httpRequest) {
		if !strings.HasSuffix(request.URL.Path, "/deadly") {
			time.Sleep(15 * time.Millisecond)
			answer(rw, "booked")
			return
		}
		attempt := request.Header.Get("X-Attempt-Id")
		mu.Lock()
		if _, known := reached[attempt]; !known {
			reached[attempt] = time.Now()
		}
		if trouble {
			crashes = append(crashes, time.Now())
		}
		number := len(crashes)
		mu.Unlock()
		if !trouble {
			answer(rw, "booked")
			return
		}
		r.add("worker %s begins to run %s and crashes (crash %d)", w.name, attempt, number)
		w.crash(workerDown)
	}
	d, err := newDeployment("norte-a", "cantabria-a", "ebro-a")
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put(topicOperator, "config", configuration(1, caseKey))
	for number, zone := range []string{"norte-a", "cantabria-a", "ebro-a", "norte-a"} {
		w, err := d.worker(number+1, zone, "wuno96b", handle)
		if err != nil {
			return false, err
		}
		defer w.close()
	}
	if err := d.start(); err != nil {
		return false, err
	}
	time.Sleep(stable)
	r.add("all fronts are ready and calm for stableMs")

	ordinary := call{method: "POST", path: casePath + "2f", body: "booking", key: caseKey, deadline: 600 * time.Millisecond}
	deadly := call{method: "POST", path: casePath + "deadly", body: deadlyBody, key: caseKey, deadline: 600 * time.Millisecond}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	outcomes := map[string]int{}
	clients.Go(func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for index := 0; ; index++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			f := d.fronts[index%len(d.fronts)]
			clients.Go(func() {
				o := ordinary.send(f, caseHost)
				mu.Lock()
				outcomes[o.String()]++
				mu.Unlock()
			})
		}
	})
	retries, broken := 0, false
	for begin, index := time.Now(), 0; time.Since(begin) < duration && !broken; index++ {
		f := d.fronts[index%len(d.fronts)]
		o := deadly.send(f, caseHost)
		mu.Lock()
		_, hasReached := reached[o.attempt]
		crashed, third := len(crashes), time.Time{}
		if crashed >= 3 {
			third = crashes[2]
		}
		mu.Unlock()
		counts := hasReached && !third.IsZero() && o.sent.After(third.Add(stable))
		if counts {
			retries++
			broken = retries > 3
		}
		if hasReached || index%10 == 0 {
			r.add("the request comes again as %s at %s: %s, reached a worker: %v, counts: %v (%d so far)", o.attempt, f.name, o, hasReached, counts, retries)
		}
		time.Sleep(retryInterval - time.Since(o.sent))
	}
	close(stop)
	clients.Wait()
	r.add("ordinary requests by answer: %v", outcomes)
	r.add("workers crashed %d times; the request reached workers in %d retries sent later than %v after the third crash, 3 are allowed", len(crashes), retries, stable)
	return broken, nil
}
