// Command cases plays the scripts of the second review. It starts the daemons of the deploy file as
// separate processes, with a store, workers and clients of its own that follow the users' pages.
//
//	cases CASE FOLDER
//
// It writes what was sent, answered and run to record.txt in the folder. It exits with 1 if the rule
// was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds the time that a case takes.
const maxDuration = 118 * time.Second

type (
	httpWriter  = http.ResponseWriter
	httpRequest = http.Request
)

// probeClient is for readiness checks.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// record is the protocol of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// at returns a time as seconds since the start of the case.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"restored": playRestored,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		os.Exit(2)
	}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-end:
		case <-time.After(maxDuration):
		}
		running.kill()
		fmt.Println("could not run: it was ended before its end")
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		r.add("the rule was broken")
		fmt.Println("the rule was broken, see record.txt")
		os.Exit(1)
	}
	r.add("the rule held")
	fmt.Println("the rule held")
}
