package loader

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/supply"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// initialVersion is the version that engines should hold before the operator has
	// declared one.
	initialVersion = 1
	// supersedeFraction decides whether the fetch of a version is abandoned for a newer
	// one: only if more than this fraction of the older version's time from declaration
	// to deadline was left when the newer one was declared. The newer version needs a
	// third of that time for the download from the origin and a fifth for its distribution.
	// The decision uses the times of declaration, which all loaders share: when loaders
	// decided by their own progress, some waited for pieces of a version that others had
	// abandoned.
	supersedeFraction = 0.7
	// loadWindowStart and loadWindowEnd bound the time of load orders, as fractions of
	// the time from the declaration of a version to its deadline. An engine with a
	// pending load accepts no new requests until its running requests end, so the
	// engines of a service load one after another.
	loadWindowStart = 0.45
	loadWindowEnd   = 0.96
	// loadingPollInterval replaces enginePollInterval while the engine loads or waits to
	// load a version, and after an attempt to fetch one.
	loadingPollInterval = 100 * time.Millisecond
)

var (
	errSuperseded = errors.New("superseded by a newer version")
	errStopped    = errors.New("the loader ends")
)

// converge calls reconcile repeatedly until the loader ends: after the pause that reconcile
// returns, or earlier on a signal of wakeConverge.
func (l *Loader) converge() {
	defer close(l.converged)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.wakeConverge:
		case <-timer.C:
		}
		timer.Reset(l.reconcile())
	}
}

// isStopped reports whether Drain was called.
func (l *Loader) isStopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// reconcile polls the engine and compares its loaded versions with the declared ones. If
// the engine is behind and executes no order, reconcile loads the newest version whose
// pieces are all present, for which it may have to wait, see waitForLoadTurn. An order that is
// not settled is repeated first, see engineCalls. It returns the time until the next call.
func (l *Loader) reconcile() time.Duration {
	view := l.mirror.View()
	interval := 4 * enginePollInterval
	for _, model := range l.models(view) {
		report, err := l.readReport(model)
		l.logEngineState(err)
		if err != nil {
			interval = enginePollInterval
			continue
		}
		switch {
		case report.Busy:
			interval = loadingPollInterval
		case report.LoadedVersions[model] < declaredVersion(view, model):
			interval = enginePollInterval
			complete := l.calls.unsettledOrder(model)
			if complete == nil {
				complete = l.newestComplete(model, report.LoadedVersions[model])
			}
			if complete == nil {
				continue
			}
			err := l.load(model, complete)
			wasUnsettled := l.loadUnsettled
			l.loadUnsettled = errors.Is(err, errUnsettled)
			if err != nil && (!wasUnsettled || !l.loadUnsettled) {
				l.log.Info("version not loaded", zap.String("model", model), zap.Int("version", complete.manifest.Version),
					zap.String("cause", err.Error()))
			}
			interval = loadingPollInterval
		}
	}
	return interval
}

// readReport requests a report of the engine and records it.
func (l *Loader) readReport(model string) (fuchsiarouter.EngineReport, error) {
	requestedAt := time.Now()
	report, err := l.engine.Report()
	if err != nil {
		l.calls.recordSilence()
		return report, err
	}
	l.calls.recordReport(requestedAt, report)
	l.recordReport(model, report)
	return report, nil
}

// logEngineState logs when the engine stops answering and when it answers again. err is
// the error of the latest poll.
func (l *Loader) logEngineState(err error) {
	switch {
	case err != nil && !l.engineLost:
		l.log.Warn("engine lost", zap.String("engine", l.settings.EngineAddress), telemetry.Cause(err))
	case err == nil && l.engineLost:
		l.log.Info("engine regained", zap.String("engine", l.settings.EngineAddress))
	}
	l.engineLost = err != nil
}

// models returns the models of the engine's service. It returns none until the other
// servers are known, because a loader without them would download every piece from the
// origin.
func (l *Loader) models(view *catalog.View) []string {
	if view.Configuration == nil || len(view.Servers) == 0 && !l.mirror.HasServers() {
		return nil
	}
	service := view.Configuration.Services[l.settings.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	return service.Engine.Models
}

// declaredVersion returns the version of a model that the engine should hold.
func declaredVersion(view *catalog.View, model string) int {
	return max(view.DeclaredVersions[model].Version, initialVersion)
}

// newestComplete returns the piece cache of the newest version whose pieces are all
// present, or nil if none is newer than the version held by the engine.
func (l *Loader) newestComplete(model string, held int) *pieceCache {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest *pieceCache
	for _, cache := range l.caches {
		manifest := cache.manifest
		if manifest.Model == model && manifest.Version > held && len(cache.missingPieces()) == 0 &&
			(newest == nil || manifest.Version > newest.manifest.Version) {
			newest = cache
		}
	}
	return newest
}

// fetchLoop fetches the pieces of the declared versions until the loader ends. It runs
// concurrently with converge, so the engine can serve or load an older version meanwhile.
func (l *Loader) fetchLoop() {
	for {
		view := l.mirror.View()
		interval := enginePollInterval
		for _, model := range l.models(view) {
			version := declaredVersion(view, model)
			if !l.needsFetch(view, model, version) {
				continue
			}
			interval = loadingPollInterval
			err := l.fetchVersion(view, model, version)
			if err != nil {
				l.log.Info("version not fetched", zap.String("model", model), zap.Int("version", version),
					zap.String("cause", err.Error()))
				continue
			}
			l.reconcileNow()
		}
		select {
		case <-l.stop:
			return
		case <-l.wakeFetch:
		case <-time.After(interval):
		}
	}
}

// needsFetch reports whether the pieces of a version must be fetched. An engine that has
// not reported yet is assumed to lack the version if another engine of its service has it.
func (l *Loader) needsFetch(view *catalog.View, model string, version int) bool {
	if cache := l.cache(model, version); cache != nil && len(cache.missingPieces()) == 0 {
		return false
	}
	l.mu.Lock()
	state, reported := l.engineStates[model]
	l.mu.Unlock()
	if reported {
		return state.version < version
	}
	_, _, complete := l.sourcePlan(view, model, version, func(string) bool { return false })
	for _, isComplete := range complete {
		if isComplete {
			return true
		}
	}
	return false
}

// fetchVersion fetches the manifest and the missing pieces of a version.
func (l *Loader) fetchVersion(view *catalog.View, model string, version int) error {
	start := time.Now()
	cache, err := l.openCache(view, model, version, view.Configuration.Services[l.settings.Service].Engine)
	if err != nil {
		return err
	}
	if err := l.fetchPieces(model, version, cache); err != nil {
		return err
	}
	l.log.Info("version fetched", zap.String("model", model), zap.Int("version", version),
		zap.Duration("took", time.Since(start)))
	return nil
}

// recordReport records the state of a model in a report of the engine. It logs a changed
// state and announces it to the entries (ingress daemons), which route requests by it.
func (l *Loader) recordReport(model string, report fuchsiarouter.EngineReport) {
	l.mu.Lock()
	previous, reported := l.engineStates[model]
	current := engineState{version: report.LoadedVersions[model], loading: report.Busy}
	l.engineStates[model] = current
	leaves := report.Leaving && (l.leavingStart == nil || *l.leavingStart != report.StartedAt)
	l.leavingStart = nil
	if report.Leaving {
		l.leavingStart = &report.StartedAt
	}
	if previous != current || leaves {
		l.changedAt = time.Now()
	}
	l.mu.Unlock()
	if !reported {
		// Until the first report it is not known whether the engine needs a version.
		signal(l.wakeFetch)
	}
	if leaves {
		l.log.Info("engine leaves", zap.Int64("born", report.StartedAt))
		l.announce()
	}
	if previous != current {
		l.log.Info("engine state", zap.String("model", model), zap.Int("version", current.version),
			zap.Bool("loading", current.loading), zap.Int64("orders", report.AcceptedOrders), zap.Int64("born", report.StartedAt))
		l.announce()
	}
}

// isBehind reports whether the engine has reported that it holds an older version or none.
func (l *Loader) isBehind(model string, version int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, reported := l.engineStates[model]
	return reported && state.version < version
}

// heldVersion returns the version of a model that the engine last reported as loaded, or 0
// if there is none.
func (l *Loader) heldVersion(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engineStates[model].version
}

// isSuperseded reports whether the fetch of a version is to be abandoned for a newer one, see
// supersedeFraction. If it is unknown when the version was declared, any newer one replaces it.
func (l *Loader) isSuperseded(model string, version int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.supersedeWindow()
	older, known := l.declarations[model][version]
	for newer, declared := range l.declarations[model] {
		if newer > version && (!known || older.IsSupersededBy(declared, window)) {
			return true
		}
	}
	return false
}

// isAbandoned reports whether the fetch of a version, which received its last piece at progressAt, is
// to be abandoned for a newer one. Loaders date the declarations a little differently, so some of
// them may still wait for pieces of a version that the others have abandoned.
func (l *Loader) isAbandoned(model string, version int, progressAt time.Time) bool {
	return time.Since(progressAt) > l.supersedeWindow() && declaredVersion(l.mirror.View(), model) > version
}

// supersedeWindow is the time from the declaration of a version within which a newer one
// supersedes it, see supersedeFraction.
func (l *Loader) supersedeWindow() time.Duration {
	return time.Duration((1 - supersedeFraction) * float64(l.settings.VersionDeadline))
}

// waitForLoadTurn waits until this engine may load. The engines of a service load at
// times that are spread, in the order of supply.LoadTurn, over a window before the version
// deadline. An engine without a version loads immediately. waitForLoadTurn returns true,
// and the version must not be loaded, if all pieces of a newer version arrived during the
// wait. While it waits, it announces the time of the load to the entries.
func (l *Loader) waitForLoadTurn(model string, version int) (bool, error) {
	held := l.heldVersion(model)
	if held == 0 {
		return false, nil
	}
	waitStart := boottime.Now()
	for {
		deadline, ok := l.versionDeadline(model, held)
		if !ok {
			return false, nil
		}
		position, count := supply.LoadTurn(l.mirror.View(), l.settings.Service, l.settings.EngineAddress)
		timeToDeadline := float64(l.settings.VersionDeadline)
		windowStart := max(deadline-time.Duration(timeToDeadline*(1-loadWindowStart)), waitStart)
		windowEnd := deadline - time.Duration(timeToDeadline*(1-loadWindowEnd))
		now := boottime.Now()
		loadAt := windowStart + time.Duration(float64(windowEnd-windowStart)*float64(position)/float64(max(count, 1)))
		if now >= loadAt {
			return false, nil
		}
		if complete := l.newestComplete(model, held); complete != nil && complete.manifest.Version > version {
			return true, nil
		}
		l.announceExpectedLoad(loadAt - now)
		select {
		case <-l.stop:
			return false, errStopped
		case <-time.After(min(loadAt-now, loadingPollInterval)):
		}
	}
}

// announceExpectedLoad announces the time until the next load to the entries, so that they
// send the engine only requests that end before the load. It announces at most once per
// announceInterval.
func (l *Loader) announceExpectedLoad(untilLoad time.Duration) {
	l.mu.Lock()
	l.expectedLoadAt = time.Now().Add(untilLoad)
	due := time.Since(l.loadAnnouncedAt) >= announceInterval
	if due {
		l.loadAnnouncedAt = time.Now()
	}
	l.mu.Unlock()
	if due {
		l.announce()
	}
}

// versionDeadline returns the boot time after which no request may start on the version
// that the engine holds. It returns false if no newer version is declared.
func (l *Loader) versionDeadline(model string, held int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	earliest, found := time.Duration(0), false
	for version, declared := range l.declarations[model] {
		if version > held && (!found || declared.DeclaredAt < earliest) {
			earliest, found = declared.DeclaredAt, true
		}
	}
	return earliest + l.settings.VersionDeadline, found
}

// recordDeclarations records when each declared version of the view was declared. It
// returns true if one of them was not recorded before.
func (l *Loader) recordDeclarations(view *catalog.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := false
	for model, target := range view.DeclaredVersions {
		if l.declarations[model] == nil {
			l.declarations[model] = map[int]supply.Declaration{}
		}
		if _, known := l.declarations[model][target.Version]; !known {
			l.declarations[model][target.Version] = supply.Declaration{DeclaredAt: target.DeclaredAt, LearntAt: boottime.Now()}
			added = true
		}
	}
	return added
}
