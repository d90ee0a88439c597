package experiment

import (
	"testing"
	"testing/synctest"
)

// runInVirtualTime runs the functions one after the other, each under its own
// virtual clock of package synctest, in which sleeping takes no real time. It can
// be called only once in a process.
//
// The standard library offers virtual time to tests only, so the functions run
// inside a test. The goroutine of the test blocks forever at the end, because
// the test framework would otherwise exit the process before the caller has used
// the results.
func runInVirtualTime(runs ...func()) {
	done := make(chan struct{})
	test := testing.InternalTest{Name: "virtual", F: func(t *testing.T) {
		for _, run := range runs {
			synctest.Test(t, func(*testing.T) { run() })
		}
		close(done)
		select {}
	}}
	match := func(_, _ string) (bool, error) { return true, nil }
	go testing.Main(match, []testing.InternalTest{test}, nil, nil)
	<-done
}
