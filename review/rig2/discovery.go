package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a member in discovery's list.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	changed     int64
}

// List is an answer of discovery.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Discovery is a stand-in for discovery.
type Discovery struct {
	record *Record

	mu         sync.Mutex
	generation int64
	entries    map[string]Entry
	order      []string
	changed    chan struct{}
}

// NewDiscovery returns a discovery that lists members as serving.
func NewDiscovery(record *Record, members ...*Member) *Discovery {
	d := &Discovery{record: record, entries: map[string]Entry{}, changed: make(chan struct{})}
	for _, m := range members {
		d.Set(m, "SERVING")
	}
	return d
}

// Set lists a member in a state, as a new version of the list.
func (d *Discovery) Set(m *Member, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	if _, known := d.entries[m.ID]; !known {
		d.order = append(d.order, m.ID)
	}
	d.entries[m.ID] = Entry{InstanceID: m.ID, HostPort: m.Addr, Zone: m.Zone, MachineType: "std", Cell: m.Group, Lifecycle: lifecycle,
		Weight: 1, changed: d.generation}
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.Printf("discovery generation=%d %s %s", d.generation, m.ID, lifecycle)
}

// All returns the whole list.
func (d *Discovery) All() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

func (d *Discovery) since(index int64) List {
	list := List{Generation: d.generation, Reset: index < 0, Instances: []Entry{}}
	for _, id := range d.order {
		entry := d.entries[id]
		if index < 0 && entry.Lifecycle != "DELETED" || index >= 0 && entry.changed > index {
			list.Instances = append(list.Instances, entry)
		}
	}
	return list
}

// Endpoint is an address at which discovery answers.
type Endpoint struct {
	Addr string
}

// Listen opens an address at which the discovery answers.
func (d *Discovery) Listen(name string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) { d.answer(name, w, r) })
	go http.Serve(listener, mux)
	return &Endpoint{listener.Addr().String()}, nil
}

func (d *Discovery) answer(name string, w http.ResponseWriter, r *http.Request) {
	began, index := time.Now(), int64(-1)
	if text := r.URL.Query().Get("index"); text != "" {
		index, _ = strconv.ParseInt(text, 10, 64)
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		d.mu.Lock()
		changed, newer := d.changed, d.generation > index
		d.mu.Unlock()
		if index < 0 || newer || wait <= 0 {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			d.record.Printf("discovery %s call %s given up after %v", name, r.URL.RawQuery, time.Since(began).Round(time.Millisecond))
			return
		}
	}
	d.mu.Lock()
	list := d.since(index)
	d.mu.Unlock()
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
	d.record.Printf("discovery %s call %q answered after %v: generation=%d entries=%d", name, r.URL.RawQuery,
		time.Since(began).Round(time.Millisecond), list.Generation, len(list.Instances))
}
