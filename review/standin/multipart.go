package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["multipart"] = playMultipart }

// playMultipart sends requests whose bodies are forms, as browsers and HTTP libraries send
// them. Without trouble it sends the same bodies as plain bytes.
func playMultipart(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.store.put(topicOperator, "config", configuration(1000))
	var mu sync.Mutex
	ran := map[string][]byte{}
	run := func(_ *worker, id string, body []byte, response http.ResponseWriter, request *http.Request) {
		mu.Lock()
		ran[request.Header.Get("X-Attempt-Id")] = body
		mu.Unlock()
		_, _ = response.Write([]byte("done by " + id))
	}
	for i := range 3 {
		if _, err := startWorker(d.store, d.record, "plain", i, 6, run); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(ctx, 2); err != nil {
		return false, err
	}
	contentType := "application/octet-stream"
	if trouble {
		contentType = "multipart/form-data; boundary=formboundary"
	}
	changed := 0
	for i := range 20 {
		var body bytes.Buffer
		// A form as "curl -F" sends it: two fields, of which one names its type, and a file.
		_, _ = fmt.Fprintf(&body, "--formboundary\r\nContent-Disposition: form-data; name=\"depot\"\r\n\r\n%d\r\n", i)
		_, _ = fmt.Fprintf(&body, "--formboundary\r\nContent-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json\r\n\r\n{\"quantity\":%d}\r\n", i)
		_, _ = fmt.Fprintf(&body, "--formboundary\r\nContent-Disposition: form-data; name=\"note\"; filename=\"note.txt\"\r\nContent-Type: text/plain\r\n\r\nstains\r\n")
		body.WriteString("--formboundary--\r\n")
		id := newAttemptID()
		a := send(ctx, d.entries[i%2], id, http.MethodPost, "/book/credit", contentType, body.Bytes(), time.Second)
		mu.Lock()
		got, arrived := ran[id]
		mu.Unlock()
		d.record.write("sent %d bytes, %v", body.Len(), a)
		if arrived && !bytes.Equal(got, body.Bytes()) {
			changed++
			d.record.write("the worker ran it with another body: sent %s, run with %s", oneLine(body.Bytes()), oneLine(got))
		}
	}
	d.record.write("%d of 20 requests ran with a changed body", changed)
	mu.Lock()
	defer mu.Unlock()
	if len(ran) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed == 0, nil
}

// oneLine returns a body on one line.
func oneLine(body []byte) string {
	return strings.ReplaceAll(strings.ReplaceAll(string(body), "\r", "\\r"), "\n", "\\n")
}
