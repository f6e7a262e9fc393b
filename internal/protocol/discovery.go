package protocol

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"sedgespread/internal/transport"
)

// Lifecycle is a member's standing with discovery.
type Lifecycle int

const (
	Serving Lifecycle = iota
	Draining
	Deleted
)

var lifecycles = map[string]Lifecycle{"SERVING": Serving, "DRAINING": Draining, "DELETED": Deleted}

// Target is one entry of discovery's list.
type Target struct {
	ID              string    `json:"instanceId"`
	Address         string    `json:"hostPort"`
	Zone            string    `json:"zone"`
	Group           int64     `json:"cell"`
	State           string    `json:"lifecycle"`
	StartedAtMillis float64   `json:"startedAtMs"`
	Weight          float64   `json:"weight"` // its size, 0 where the list does not say
	Lifecycle       Lifecycle `json:"-"`
}

// Targets is discovery's list or, when Whole is false, what changed in it.
type Targets struct {
	Generation int64    `json:"generation"`
	IsFull     bool     `json:"reset"`
	Entries    []Target `json:"instances"`
}

// ParseTargets reads a list.
func ParseTargets(text []byte) (t Targets, err error) {
	if err := json.Unmarshal(text, &t); err != nil {
		return t, err
	}
	return t, t.check()
}

func (t *Targets) check() error {
	for i := range t.Entries {
		e := &t.Entries[i]
		life, ok := lifecycles[e.State]
		e.Lifecycle = life
		switch {
		case !ok:
			return fmt.Errorf("instances.%d.lifecycle=%q is not known", i, e.State)
		case e.ID == "":
			return fmt.Errorf("instances.%d.instanceId is missing", i)
		case e.Address == "" && life != Deleted:
			return fmt.Errorf("instances.%d.hostPort is missing", i)
		case e.Weight < 0:
			return fmt.Errorf("instances.%d.weight=%v is less than nothing", i, e.Weight)
		case e.StartedAtMillis < 0 || e.StartedAtMillis > mostMillis:
			return fmt.Errorf("instances.%d.startedAtMs=%v is out of range", i, e.StartedAtMillis)
		}
	}
	return nil
}

// Discovery asks discovery for the list, over one connection that is kept while it lasts.
type Discovery struct {
	d       *transport.Descriptors
	address string
	c       *transport.Conn
}

// NewDiscovery connects when first asked.
func NewDiscovery(d *transport.Descriptors, address string) *Discovery {
	return &Discovery{d: d, address: address}
}

// FetchAll asks for the whole list.
func (d *Discovery) FetchAll(life, by context.Context) (Targets, error) {
	return d.get(life, by, "/api/targets")
}

// FetchChanges waits up to wait milliseconds for what is newer than a generation.
func (d *Discovery) FetchChanges(life, by context.Context, generation, wait int64) (Targets, error) {
	q := url.Values{"index": {strconv.FormatInt(generation, 10)}, "wait": {strconv.FormatInt(wait, 10)}}
	return d.get(life, by, "/api/targets?"+q.Encode())
}

func (d *Discovery) get(life, by context.Context, path string) (t Targets, err error) {
	if d.c == nil || !d.c.HasNoPendingInput() { // what came unasked would be taken for the answer
		d.Close(transport.Evicted)
		c, end := transport.Dial(life, by, d.d, 0, d.address, RingBytes)
		if end != transport.Open {
			return t, end
		}
		d.c = c
	}
	r, end := d.exchange(by, path)
	if end != transport.Open {
		d.Close(end)
		return t, end
	}
	if r.last {
		d.Close(transport.ClosedByPeer)
	}
	if r.status != http.StatusOK {
		return t, fmt.Errorf("status %d", r.status)
	}
	return ParseTargets(r.body)
}

func (d *Discovery) exchange(by context.Context, path string) (response, transport.CloseReason) {
	c := d.c
	stop := context.AfterFunc(by, func() { c.Close(transport.CloseReasonOf(by)) })
	defer stop()
	c.Write(get(d.address, path))
	if end := c.Flush(); end != transport.Open {
		return response{}, end
	}
	return readResponse(c)
}

// Close ends the connection, if there is one.
func (d *Discovery) Close(end transport.CloseReason) {
	if d.c != nil {
		d.c.Close(end)
		d.c = nil
	}
}
