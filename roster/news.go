package roster

import "github.com/fuchsiarouter/fuchsiarouter"

// News is what daemons tell entries several times a second.
type News struct {
	// Entry is set in the news of an entry.
	Entry Entry `json:"entry"`
	// Load holds the number of requests that the entry has at each server.
	Load map[string]int `json:"load,omitempty"`
	// Strikes are requests that were in progress at servers that crashed.
	Strikes []fuchsiarouter.Strike `json:"strikes,omitempty"`
	// Stalled are servers that make no progress on answers which they have begun.
	Stalled []string `json:"stalled,omitempty"`
	// Engine is set in the news of an agent.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is the state of a model engine as the agent beside it sees it.
type Engine struct {
	Address string `json:"address"`
	// Versions are the versions that it holds whole, by model.
	Versions map[string]int `json:"versions"`
	// Loading is set while it takes nothing new.
	Loading bool `json:"loading,omitempty"`
	// LoadsInMilliseconds is the time until it is expected to load, 0 when it is not.
	LoadsInMilliseconds int64 `json:"loads-in-ms,omitempty"`
}
