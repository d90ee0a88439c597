package loader

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// firstVersion is the version that engines hold before any is declared.
	firstVersion = 1
	// overtakeLeft is the part of its deadline that a version must have left, when a newer
	// one is declared, to be dropped: the newer one takes a third for the origin and a
	// fifth to reach everybody. It goes by the times of declaration, which all agents
	// share. Agents that went by their own progress waited for pieces that others had
	// dropped.
	overtakeLeft = 0.7
	// earliestLoad and latestLoad bound, as parts of the version deadline, when an
	// engine is ordered to load. An engine that loads takes nothing new until what it
	// runs has ended, so the engines of a service take turns.
	earliestLoad = 0.45
	latestLoad   = 0.96
	// loadingLook is the time between two looks at an engine that loads.
	loadingLook = 100 * time.Millisecond
)

var (
	errOvertaken = errors.New("a newer version is declared")
	errStopped   = errors.New("the loader ends")
)

// converge brings the engine to the declared version until the loader ends.
func (l *Loader) converge() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.wake:
		case <-timer.C:
		}
		timer.Reset(l.look())
	}
}

// look compares the engine with what is declared and takes the next step. It returns
// the time until the next look.
func (l *Loader) look() time.Duration {
	view := l.mirror.View()
	pause := 4 * lookInterval
	for _, model := range l.models(view) {
		report, err := l.engine.Report()
		l.noteEngine(err)
		if err != nil {
			pause = lookInterval
			continue
		}
		l.reported(model, report)
		switch {
		case report.Busy:
			pause = loadingLook
		case report.Versions[model] < declared(view, model):
			pause = lookInterval
			full := l.fullest(model, report.Versions[model])
			if full == nil {
				continue
			}
			if err := l.load(model, full); err != nil {
				l.log.Info("version not loaded", zap.String("model", model), zap.Int("version", full.manifest.Version),
					zap.String("cause", err.Error()))
			}
			pause = loadingLook
		}
	}
	return pause
}

// noteEngine logs when the engine is lost and when it answers again.
func (l *Loader) noteEngine(err error) {
	switch {
	case err != nil && !l.engineLost:
		l.log.Warn("engine lost", zap.String("engine", l.settings.Engine), telemetry.Cause(err))
	case err == nil && l.engineLost:
		l.log.Info("engine regained", zap.String("engine", l.settings.Engine))
	}
	l.engineLost = err != nil
}

// models returns the models of the engine's service. There are none until the other
// servers are known, from which their versions come.
func (l *Loader) models(view *world.View) []string {
	if view.Configuration == nil || !l.mirror.KnowsServers() {
		return nil
	}
	service := view.Configuration.Services[l.settings.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	return service.Engine.Models
}

// declared returns the version of a model that the engine should hold.
func declared(view *world.View, model string) int {
	return max(view.Targets[model].Version, firstVersion)
}

// fullest returns the newest version beyond the held one of which every piece is
// there, or nil.
func (l *Loader) fullest(model string, held int) *shelf {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest *shelf
	for _, known := range l.versions {
		manifest := known.manifest
		if manifest.Model == model && manifest.Version > held && len(known.left()) == 0 &&
			(newest == nil || manifest.Version > newest.manifest.Version) {
			newest = known
		}
	}
	return newest
}

// collect fetches the pieces of what is declared until the loader ends, while the
// engine serves or loads an older version.
func (l *Loader) collect() {
	for {
		view := l.mirror.View()
		pause := lookInterval
		for _, model := range l.models(view) {
			version := declared(view, model)
			if !l.lacks(view, model, version) {
				continue
			}
			pause = loadingLook
			err := l.gather(view, model, version)
			if err != nil {
				l.log.Info("version not fetched", zap.String("model", model), zap.Int("version", version),
					zap.String("cause", err.Error()))
				continue
			}
			l.nudge()
		}
		select {
		case <-l.stop:
			return
		case <-l.declaredNow:
		case <-time.After(pause):
		}
	}
}

// lacks tells whether the pieces of a version are to be fetched. An engine that has
// not reported yet is expected to lack it when others of its service have it.
func (l *Loader) lacks(view *world.View, model string, version int) bool {
	if known := l.shelf(model, version); known != nil && len(known.left()) == 0 {
		return false
	}
	l.mu.Lock()
	state, reported := l.engines[model]
	l.mu.Unlock()
	if reported {
		return state.version < version
	}
	_, _, complete := l.plan(view, model, version, func(string) bool { return false })
	for _, whole := range complete {
		if whole {
			return true
		}
	}
	return false
}

// gather fetches the missing pieces of a version.
func (l *Loader) gather(view *world.View, model string, version int) error {
	began := time.Now()
	shelf, err := l.open(view, model, version, view.Configuration.Services[l.settings.Service].Engine)
	if err != nil {
		return err
	}
	if err := l.fill(model, version, shelf); err != nil {
		return err
	}
	l.log.Info("version fetched", zap.String("model", model), zap.Int("version", version),
		zap.Duration("took", time.Since(began)))
	return nil
}

// reported keeps what the engine says of itself, and tells the entries of changes.
func (l *Loader) reported(model string, report fuchsiarouter.EngineReport) {
	l.mu.Lock()
	before := l.engines[model]
	now := engineState{version: report.Versions[model], loading: report.Busy}
	l.engines[model] = now
	if before != now {
		l.changedAt = time.Now()
	}
	l.mu.Unlock()
	if before != now {
		l.log.Info("engine state", zap.String("model", model), zap.Int("version", now.version),
			zap.Bool("loading", now.loading), zap.Int64("orders", report.Orders), zap.Int64("born", report.Born))
		l.announce()
	}
}

// held returns the version that the engine holds.
func (l *Loader) held(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[model].version
}

// overtaken tells whether a newer version is declared early enough to replace this one
// before its deadline.
func (l *Loader) overtaken(model string, version int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	declared := l.declared[model]
	at, known := declared[version]
	for newer, seen := range declared {
		if newer > version && (!known || seen-at < time.Duration((1-overtakeLeft)*float64(l.settings.VersionDeadline))) {
			return true
		}
	}
	return false
}

// load stages a version and orders the engine to load it, when it is its turn.
func (l *Loader) load(model string, shelf *shelf) error {
	began := time.Now()
	version := shelf.manifest.Version
	if err := l.stage(model, shelf); err != nil {
		return err
	}
	staged := time.Now()
	if newer, err := l.awaitTurn(model, version); err != nil || newer {
		return err
	}
	if err := l.check(model, version, shelf); err != nil {
		return err
	}
	report, err := l.engine.Report()
	if err != nil {
		return err
	}
	if report.Busy || report.Versions[model] >= version {
		return nil
	}
	answer, err := l.engine.Start(model, version, report.Orders)
	if err != nil {
		return err
	}
	l.log.Info("load ordered", zap.String("model", model), zap.Int("version", version), zap.Int("answer", int(answer)),
		zap.Int("running", report.Running), zap.Int("waiting", report.Waiting), zap.Duration("staged-in", staged.Sub(began)),
		zap.Duration("waited", time.Since(staged)))
	if answer == fuchsiarouter.OrderRefused {
		return errors.New("the engine refused the order")
	}
	if report, err = l.engine.Report(); err == nil {
		l.reported(model, report)
	}
	return nil
}

// stage writes the pieces beside the engine.
func (l *Loader) stage(model string, shelf *shelf) error {
	for piece := range shelf.manifest.Digests {
		if err := l.engine.Stage(model, piece, shelf.get(piece)); err != nil {
			return err
		}
	}
	return nil
}

// awaitTurn waits until this engine may load. One that holds no version loads at once.
// It reports whether a newer version is complete meanwhile.
func (l *Loader) awaitTurn(model string, version int) (bool, error) {
	held := l.held(model)
	if held == 0 {
		return false, nil
	}
	ready := boottime.Now()
	for {
		due, ok := l.deadline(model, held)
		if !ok {
			return false, nil
		}
		rank, count := l.turn(l.mirror.View())
		span := float64(l.settings.VersionDeadline)
		opens := max(due-time.Duration(span*(1-earliestLoad)), ready)
		closes := due - time.Duration(span*(1-latestLoad))
		now := boottime.Now()
		turn := opens + time.Duration(float64(closes-opens)*float64(rank)/float64(max(count, 1)))
		if now >= turn {
			return false, nil
		}
		if full := l.fullest(model, held); full != nil && full.manifest.Version > version {
			return true, nil
		}
		l.expectLoad(turn - now)
		select {
		case <-l.stop:
			return false, errStopped
		case <-time.After(min(turn-now, loadingLook)):
		}
	}
}

// expectLoad tells the entries when the engine will load, so that they send it what
// ends before.
func (l *Loader) expectLoad(in time.Duration) {
	l.mu.Lock()
	l.loadsAt = time.Now().Add(in)
	due := time.Since(l.toldLoad) >= announceInterval
	if due {
		l.toldLoad = time.Now()
	}
	l.mu.Unlock()
	if due {
		l.announce()
	}
}

// turn returns the place of this engine among those of its service.
func (l *Loader) turn(view *world.View) (rank, count int) {
	var ids []string
	self := ""
	for id, server := range view.Servers {
		if server.Service != l.settings.Service {
			continue
		}
		ids = append(ids, id)
		if server.Address == l.settings.Engine {
			self = id
		}
	}
	slices.Sort(ids)
	return max(slices.Index(ids, self), 0), len(ids)
}

// check reads every staged piece back right before the order: the engine loads what
// lies there, and staged pieces turn bad.
func (l *Loader) check(model string, version int, shelf *shelf) error {
	for piece := range shelf.manifest.Digests {
		content, err := l.engine.Staged(model, piece)
		if err == nil && shelf.verify(piece, content) {
			continue
		}
		l.counters.rotten.Inc(1)
		l.log.Info("staged piece replaced", zap.Int("piece", piece), zap.Int("version", version))
		if err := l.engine.Stage(model, piece, shelf.get(piece)); err != nil {
			return err
		}
	}
	return nil
}

// deadline returns the boot time after which no request may begin on the version that
// the engine holds.
func (l *Loader) deadline(model string, held int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, found := time.Duration(0), false
	for version, seen := range l.declared[model] {
		if version > held && (!found || seen < first) {
			first, found = seen, true
		}
	}
	return first + l.settings.VersionDeadline, found
}

// note remembers when each version was declared. It reports whether one is new.
func (l *Loader) note(view *world.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := false
	for model, target := range view.Targets {
		if l.declared[model] == nil {
			l.declared[model] = map[int]time.Duration{}
		}
		if _, known := l.declared[model][target.Version]; !known {
			l.declared[model][target.Version] = target.Seen
			fresh = true
		}
	}
	return fresh
}
