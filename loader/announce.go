package loader

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

const (
	// announceDuration is how long a change of the engine's state is announced. After
	// about one heartbeat of the engine, its own record in the platform's registry shows
	// the change.
	announceDuration = 2500 * time.Millisecond
	// announceInterval is the time between two announcements, which are repeated because
	// datagrams can be lost.
	announceInterval = 250 * time.Millisecond
)

// repeatAnnouncements announces the engine's state every announceInterval for
// announceDuration after each change, until the loader ends.
func (l *Loader) repeatAnnouncements() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case now := <-ticker.C:
			l.mu.Lock()
			due := now.Sub(l.changedAt) < announceDuration
			l.mu.Unlock()
			if due {
				l.announce()
			}
		}
	}
}

// announceFanout is the number of entries that an announcement is sent to. They pass it on
// to all others.
const announceFanout = 3

// nextAnnounced returns the entries for the next announcement: the nearest ones in turn, so
// that an announcement that is repeated reaches live entries even if some have ended. The
// caller holds the lock.
func (l *Loader) nextAnnounced() []roster.Entry {
	var next []roster.Entry
	for range min(announceFanout, len(l.entries)) {
		next = append(next, l.entries[l.announced%len(l.entries)])
		l.announced++
	}
	if l.announced >= maxAnnouncedEntries {
		l.announced = 0
	}
	return next
}

// maxAnnouncedEntries is the number of the nearest entries that announcements are sent to.
const maxAnnouncedEntries = 12

// announce sends the engine's versions, whether it is loading, and the time until its next
// load to some entries in UDP datagrams, and that the engine leaves if it says so. The
// entries thus know a change before the engine's own record in the platform's registry shows
// it.
func (l *Loader) announce() {
	l.mu.Lock()
	l.stateNumber = l.stateNumber.Next(time.Now())
	message := roster.Message{Engine: &roster.EngineStatus{Address: l.settings.EngineAddress, Versions: map[string]int{}, Number: l.stateNumber}}
	for model, state := range l.engineStates {
		if state.version > 0 {
			message.Engine.Versions[model] = state.version
		}
		message.Engine.Loading = message.Engine.Loading || state.loading
	}
	if untilLoad := time.Until(l.expectedLoadAt); untilLoad > 0 {
		message.Engine.LoadsInMilliseconds = untilLoad.Milliseconds()
	}
	messages := []roster.Message{message}
	if l.leavingStart != nil {
		engine := availability.Server{Address: l.settings.EngineAddress, Started: *l.leavingStart}
		messages = append(messages, roster.Message{LeavingEngine: &engine})
	}
	entries := l.nextAnnounced()
	l.mu.Unlock()
	for _, message := range messages {
		l.sendToEntries(&message, entries)
	}
}

// sendToEntries sends a message to entries.
func (l *Loader) sendToEntries(message *roster.Message, entries []roster.Entry) {
	body, err := message.Encode()
	if err != nil {
		l.log.Error("announcement not encoded", zap.String("cause", err.Error()))
		return
	}
	for _, entry := range entries {
		conn, err := net.Dial("udp4", entry.PeerAddress)
		if err != nil {
			l.log.Warn("entry not told", zap.String("peer", entry.Name), zap.String("cause", err.Error()))
			continue
		}
		if _, err := conn.Write(body); err != nil {
			l.log.Warn("entry not told", zap.String("peer", entry.Name), zap.String("cause", err.Error()))
		}
		_ = conn.Close()
	}
}

// registeredStart returns the start, in Unix ms, of the engine's incarnation in its registration, 0
// if there is none.
func (l *Loader) registeredStart() int64 {
	for _, server := range l.mirror.View().Servers {
		if server.Address == l.settings.EngineAddress {
			return server.Started
		}
	}
	return 0
}
