package main

import (
	"sync"
	"syscall"
	"time"
)

// rewriteDelay is the time after which the operator writes again what the restoration has lost.
const rewriteDelay = time.Second

// playRestored plays a drill of the store beside the restart of one front. A key is taken away; later
// the store comes back from a copy of before that, and the operator writes the configuration again.
// CONFIG: no request that is sent later than revokeMs after the acknowledgement runs with the key.
func playRestored(r *record, trouble bool) (bool, error) {
	const revoke = 5 * time.Second
	var mu sync.Mutex
	runs := map[string]time.Time{}
	handle := func(_ *worker, rw httpWriter, request *httpRequest) {
		mu.Lock()
		runs[request.Header.Get("X-Attempt-Id")] = time.Now()
		mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		answer(rw, "booked")
	}
	d, err := newDeployment("norte-a", "cantabria-a", "ebro-a")
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put(topicOperator, "config", configuration(1, caseKey))
	for number, zone := range []string{"norte-a", "cantabria-a", "ebro-a"} {
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
	booking := call{method: "POST", path: casePath + "2f", body: "booking", key: caseKey, deadline: 600 * time.Millisecond}
	for _, f := range d.fronts {
		r.add("before: %s answers %s", f.name, booking.send(f, caseHost))
	}
	copied := time.Now()
	time.Sleep(500 * time.Millisecond)
	revoked := configuration(2)
	acknowledged := d.store.put(topicOperator, "config", revoked)
	r.add("version 2, which takes the key away, is acknowledged")

	broken := false
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, f := range d.fronts {
		clients.Go(func() {
			last := ""
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				o := booking.send(f, caseHost)
				mu.Lock()
				_, ran := runs[o.attempt]
				if ran && o.sent.After(acknowledged.Add(revoke)) {
					broken = true
					r.add("%s sent to %s with the key %.3f s after the acknowledgement has run: %s", o.attempt, f.name, o.sent.Sub(acknowledged).Seconds(), o)
				}
				mu.Unlock()
				if o.String() != last {
					last = o.String()
					r.add("%s now answers %s (%s)", f.name, o, o.attempt)
				}
			}
		})
	}
	time.Sleep(time.Until(acknowledged.Add(6 * time.Second)))
	last, back := d.fronts[len(d.fronts)-1], time.Now()
	if trouble {
		d.store.setDown(true)
		r.add("the store is away")
		time.Sleep(500 * time.Millisecond)
		d.store.restore(copied)
		d.store.setDown(false)
		back = time.Now()
		r.add("the store is back from a copy of %.1f s ago, its era has risen", time.Since(copied).Seconds())
	}
	last.stop(syscall.SIGKILL)
	r.add("%s is killed", last.name)
	time.Sleep(200 * time.Millisecond)
	if err := last.start(); err != nil {
		return false, err
	}
	r.add("%s starts again", last.name)
	time.Sleep(time.Until(back.Add(rewriteDelay)))
	if trouble {
		d.store.put(topicOperator, "config", revoked)
		r.add("the operator has written version 2 again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return broken, nil
}
