package loader

import (
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

const (
	// announceFor is how long a change of the engine is repeated. Its own entry at the
	// platform shows the change within about a heartbeat.
	announceFor = 2500 * time.Millisecond
	// announceInterval is the time between two repetitions; datagrams get lost.
	announceInterval = 250 * time.Millisecond
)

// repeatAnnouncements tells the entries of the latest change for a while.
func (l *Loader) repeatAnnouncements() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case now := <-ticker.C:
			l.mu.Lock()
			due := now.Sub(l.changedAt) < announceFor
			l.mu.Unlock()
			if due {
				l.announce()
			}
		}
	}
}

// announce tells the entries what the engine holds, ahead of its own entry at the
// platform.
func (l *Loader) announce() {
	l.mu.Lock()
	message := roster.News{Engine: &roster.Engine{Address: l.settings.Engine, Versions: map[string]int{}}}
	for model, state := range l.engines {
		if state.version > 0 {
			message.Engine.Versions[model] = state.version
		}
		message.Engine.Loading = message.Engine.Loading || state.loading
	}
	if in := time.Until(l.loadsAt); in > 0 {
		message.Engine.LoadsInMilliseconds = in.Milliseconds()
	}
	entries := l.entries
	l.mu.Unlock()
	body, err := json.Marshal(message)
	if err != nil {
		l.log.Error("announcement not encoded", zap.String("cause", err.Error()))
		return
	}
	for _, entry := range entries {
		conn, err := net.Dial("udp4", entry.Peers)
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
