// Package platform is a stand-in of the platform on which fuchsiarouter runs. It serves over
// HTTP the three services of the platform that fuchsiarouter uses:
//
//   - the log: named, append-only streams of records;
//   - the origin: the weights of model versions, in chunks, at a limited rate;
//   - the VM list: the VMs of the platform, in which a change appears only after a delay.
//
// Faults of each can be injected while it runs.
package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/standin/lag"
)

// maxBodyBytes bounds every request body, and so also the size of a log record.
const maxBodyBytes = 8 << 20

// maxReadRecords is the maximum number of log records in a response. It also applies if the
// reader sets no limit or a higher one.
const maxReadRecords = 1000

// Options configures a platform.
type Options struct {
	Log LogOptions
	// OriginBytesPerSecond is the rate of the origin for all readers together; 0 is
	// unlimited.
	OriginBytesPerSecond int64
	// VMListLag is the time until a change of the VMs appears in the VM list. A
	// FaultUpdate can change it while the platform runs.
	VMListLag time.Duration
	// Seed determines which reads of the origin return a corrupt chunk in ModeCorrupt.
	Seed uint64
}

// Platform serves the log, the origin and the VM list over HTTP, together with the paths on
// which tests add model versions, change the VMs and inject faults.
type Platform struct {
	http.Handler
	Log    *Log
	Origin *Origin
	Faults *Faults

	mu sync.Mutex
	// vms holds the VMs by ID, as they are now.
	vms map[string]fuchsiarouter.VM
	// listedVMs is the VM list that clients read: vms as they were Faults.VMListLag ago.
	listedVMs lag.Value[[]fuchsiarouter.VM]
}

// New returns a platform without models or VMs.
func New(options Options) *Platform {
	faults := &Faults{log: ModeUp, origin: ModeUp, vmListLag: options.VMListLag}
	p := &Platform{
		Log:    NewLog(options.Log),
		Origin: NewOrigin(faults, options.OriginBytesPerSecond, options.Seed),
		Faults: faults,
		vms:    map[string]fuchsiarouter.VM{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.appendRecord)
	mux.HandleFunc("GET /log/{stream}", p.readRecords)
	mux.Handle("GET /origin/", p.Origin)
	mux.HandleFunc("GET /origin-bytes", p.originBytes)
	mux.HandleFunc("PUT /models/{model}/{version}", p.addModel)
	mux.HandleFunc("GET /vms", p.listVMs)
	mux.HandleFunc("PUT /vms/{id}", p.putVM)
	mux.HandleFunc("DELETE /vms/{id}", p.deleteVM)
	mux.HandleFunc("POST /faults", p.setFaults)
	p.Handler = mux
	return p
}

// appendRecord appends the request body to a stream of the log as one record.
func (p *Platform) appendRecord(w http.ResponseWriter, r *http.Request) {
	if !p.awaitLog(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, ok := p.Log.Append(time.Now(), r.PathValue("stream"), data)
	if !ok {
		http.Error(w, "above the append rate", http.StatusTooManyRequests)
		return
	}
	if p.Faults.ConsumeDropResponse() {
		// Closes the connection without a response, after the record was appended.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

// readRecords returns the records of a stream from the offset in the query parameter from,
// at most max of them. If there are none yet, it waits for one for up to wait-ms, and then
// returns an empty list. It responds with status 410 if the record at the offset has
// expired.
func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	if !p.awaitLog(w, r) {
		return
	}
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("max"))
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		records, first, next, appended := p.Log.Read(time.Now(), r.PathValue("stream"), from, limit)
		if len(records) == 0 && from >= first && waiting {
			select {
			case <-appended:
			case <-timer.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		if mode, _ := p.Faults.Log(); mode == ModeDown {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		if from < first {
			writeJSON(w, http.StatusGone, struct {
				First int64 `json:"first"`
				Next  int64 `json:"next"`
			}{first, next})
			return
		}
		if records == nil {
			records = []Record{}
		}
		writeJSON(w, http.StatusOK, struct {
			First   int64    `json:"first"`
			Next    int64    `json:"next"`
			Records []Record `json:"records"`
		}{first, next, records})
		return
	}
}

// awaitLog waits for the delay of ModeSlow. It returns false if the request is not to be
// handled further: if the log is down, in which case awaitLog has sent the response, or if
// the client disconnects during the delay.
func (p *Platform) awaitLog(w http.ResponseWriter, r *http.Request) bool {
	mode, delay := p.Faults.Log()
	if mode == ModeDown {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// originBytes responds with the number of bytes that the origin has sent, in total and by
// path.
func (p *Platform) originBytes(w http.ResponseWriter, _ *http.Request) {
	bytesRead := p.Origin.BytesRead()
	total := int64(0)
	for _, n := range bytesRead {
		total += n
	}
	writeJSON(w, http.StatusOK, struct {
		Total  int64            `json:"total"`
		ByPath map[string]int64 `json:"by-path"`
	}{total, bytesRead})
}

// addModel adds a model version of the given size to the origin and responds with its digest.
func (p *Platform) addModel(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size <= 0 {
		http.Error(w, "size must be a positive number of bytes", http.StatusBadRequest)
		return
	}
	content, err := NewContent(r.PathValue("model"), r.PathValue("version"), size)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.Origin.Add(content)
	writeJSON(w, http.StatusOK, struct {
		Digest string `json:"digest"`
		Path   string `json:"path"`
		Chunks int    `json:"chunks"`
	}{content.Digest, content.Model + "/" + content.Version, len(content.Chunks)})
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	vms := p.listedVMs.Get(time.Now(), p.Faults.VMListLag())
	if vms == nil {
		vms = []fuchsiarouter.VM{}
	}
	writeJSON(w, http.StatusOK, struct {
		VMs []fuchsiarouter.VM `json:"vms"`
	}{vms})
}

// putVM adds a VM or replaces the one with the same ID. A VM without a state is live.
func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm fuchsiarouter.VM
	if !readJSON(w, r, &vm) {
		return
	}
	vm.ID = r.PathValue("id")
	if vm.State == "" {
		vm.State = fuchsiarouter.StateLive
	}
	p.updateVMs(func() { p.vms[vm.ID] = vm })
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteVM(w http.ResponseWriter, r *http.Request) {
	p.updateVMs(func() { delete(p.vms, r.PathValue("id")) })
	w.WriteHeader(http.StatusNoContent)
}

// updateVMs changes the VMs with change. The new list becomes visible to clients after
// Faults.VMListLag.
func (p *Platform) updateVMs(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	vms := make([]fuchsiarouter.VM, 0, len(p.vms))
	for _, id := range slices.Sorted(maps.Keys(p.vms)) {
		vms = append(vms, p.vms[id])
	}
	p.listedVMs.Set(time.Now(), vms)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var update FaultUpdate
	if !readJSON(w, r, &update) {
		return
	}
	if !p.Faults.Apply(update) {
		http.Error(w, "unknown mode", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readJSON decodes the request body into target. If that fails, it responds with status 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignores the error: a client that has disconnected cannot be told of it.
	_ = json.NewEncoder(w).Encode(value)
}
