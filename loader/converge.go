package loader

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

// firstVersion is the version that engines hold before any is declared.
const firstVersion = 1

// errOvertaken reports that a newer version was declared meanwhile.
var errOvertaken = errors.New("a newer version is declared")

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
		pause := 4 * lookInterval
		if !l.look() {
			pause = lookInterval
		}
		timer.Reset(pause)
	}
}

// look compares the engine with what is declared and takes the next step. It reports
// whether the engine holds the declared version.
func (l *Loader) look() bool {
	view := l.mirror.View()
	if view.Configuration == nil {
		return false
	}
	service := view.Configuration.Services[l.settings.Service]
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return true
	}
	settled := true
	for _, model := range service.Engine.Models {
		version := max(view.Targets[model].Version, firstVersion)
		report, err := l.engine.Report()
		if err != nil {
			l.log.Warn("engine does not report", zap.Error(err))
			return false
		}
		if report.Versions[model] >= version && !report.Busy {
			l.offer(view, model, report.Versions[model])
			continue
		}
		settled = false
		if report.Busy {
			continue
		}
		if err := l.bring(view, model, version, service.Engine); err != nil {
			l.log.Warn("version not loaded", zap.String("model", model), zap.Int("version", version), zap.Error(err))
		}
	}
	return settled
}

// overtaken tells whether a newer version than this one is declared.
func (l *Loader) overtaken(model string, version int) bool {
	return l.mirror.View().Targets[model].Version > version
}

// bring fetches and stages a version and orders the engine to load it.
func (l *Loader) bring(view *world.View, model string, version int, engine *world.Engine) error {
	began := time.Now()
	shelf, err := l.open(view, model, version, engine)
	if err != nil {
		return err
	}
	if err := l.fill(model, version, shelf); err != nil {
		return err
	}
	filled := time.Now()
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
	if l.overtaken(model, version) {
		return errOvertaken
	}
	answer, err := l.engine.Start(model, version, report.Orders)
	if err != nil {
		return err
	}
	l.log.Info("load ordered", zap.String("model", model), zap.Int("version", version), zap.Int("answer", int(answer)),
		zap.Int("running", report.Running), zap.Duration("fetched-in", filled.Sub(began)),
		zap.Duration("checked-in", time.Since(filled)))
	if answer == fuchsiarouter.OrderRefused {
		return errors.New("the engine refused the order")
	}
	return nil
}

// check reads every staged piece back right before the order: the engine loads what
// lies there, and staged pieces turn bad.
func (l *Loader) check(model string, version int, shelf *shelf) error {
	for piece := range shelf.manifest.Digests {
		if l.overtaken(model, version) {
			return errOvertaken
		}
		content, err := l.engine.Staged(model, piece)
		if err == nil && shelf.verify(piece, content) {
			continue
		}
		l.counters.rotten.Inc(1)
		l.log.Info("staged piece replaced", zap.Int("piece", piece), zap.Int("version", version), zap.Error(err))
		if err := l.engine.Stage(model, piece, shelf.get(piece, 0)); err != nil {
			return err
		}
	}
	return nil
}
