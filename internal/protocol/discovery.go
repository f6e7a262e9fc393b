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

// Lifecycle is a member's state as listed by discovery.
type Lifecycle int

// The lifecycle states.
const (
	Serving Lifecycle = iota
	Draining
	Deleted
)

var lifecyclesByName = map[string]Lifecycle{"SERVING": Serving, "DRAINING": Draining, "DELETED": Deleted}

// Target is a member in discovery's list.
type Target struct {
	ID              string    `json:"instanceId"`
	Address         string    `json:"hostPort"`
	Zone            string    `json:"zone"`
	Group           int64     `json:"cell"`
	State           string    `json:"lifecycle"`
	StartedAtMillis float64   `json:"startedAtMs"`
	Weight          float64   `json:"weight"` // relative size, 0 if not given
	Lifecycle       Lifecycle `json:"-"`
}

// Targets is discovery's list of members or, if IsFull is false, the changed entries.
type Targets struct {
	Generation int64    `json:"generation"`
	IsFull     bool     `json:"reset"`
	Entries    []Target `json:"instances"`
}

// ParseTargets parses and validates a list.
func ParseTargets(text []byte) (t Targets, err error) {
	if err := json.Unmarshal(text, &t); err != nil {
		return t, err
	}
	return t, t.validate()
}

// validate checks the entries and sets their Lifecycle.
func (t *Targets) validate() error {
	for i := range t.Entries {
		entry := &t.Entries[i]
		lifecycle, ok := lifecyclesByName[entry.State]
		entry.Lifecycle = lifecycle
		switch {
		case !ok:
			return fmt.Errorf("instances.%d.lifecycle=%q is unknown", i, entry.State)
		case entry.ID == "":
			return fmt.Errorf("instances.%d.instanceId is missing", i)
		case entry.Address == "" && lifecycle != Deleted:
			return fmt.Errorf("instances.%d.hostPort is missing", i)
		case entry.Weight < 0:
			return fmt.Errorf("instances.%d.weight=%v is negative", i, entry.Weight)
		case entry.StartedAtMillis < 0 || entry.StartedAtMillis > maxMillis:
			return fmt.Errorf("instances.%d.startedAtMs=%v is out of range", i, entry.StartedAtMillis)
		}
	}
	return nil
}

// Discovery is a client of the discovery service. It reuses one connection.
type Discovery struct {
	descriptors *transport.Descriptors
	address     string
	conn        *transport.Conn
}

// NewDiscovery returns a client that connects on its first request.
func NewDiscovery(descriptors *transport.Descriptors, address string) *Discovery {
	return &Discovery{descriptors: descriptors, address: address}
}

// FetchAll requests the full list. ctx bounds the request, connCtx the life of the connection.
func (d *Discovery) FetchAll(connCtx, ctx context.Context) (Targets, error) {
	return d.fetch(connCtx, ctx, "/api/targets")
}

// FetchChanges waits up to waitMillis for a list newer than generation.
func (d *Discovery) FetchChanges(connCtx, ctx context.Context, generation, waitMillis int64) (Targets, error) {
	query := url.Values{"index": {strconv.FormatInt(generation, 10)}, "wait": {strconv.FormatInt(waitMillis, 10)}}
	return d.fetch(connCtx, ctx, "/api/targets?"+query.Encode())
}

func (d *Discovery) fetch(connCtx, ctx context.Context, path string) (t Targets, err error) {
	if d.conn == nil || !d.conn.HasNoPendingInput() { // unexpected input would be read as the response
		d.Close(transport.Evicted)
		conn, reason := transport.Dial(connCtx, ctx, d.descriptors, 0, d.address, RingBytes)
		if reason != transport.Open {
			return t, reason
		}
		d.conn = conn
	}
	resp, reason := d.roundTrip(ctx, path)
	if reason != transport.Open {
		d.Close(reason)
		return t, reason
	}
	if resp.mustClose {
		d.Close(transport.ClosedByPeer)
	}
	if resp.status != http.StatusOK {
		return t, fmt.Errorf("discovery returned status %d", resp.status)
	}
	return ParseTargets(resp.body)
}

func (d *Discovery) roundTrip(ctx context.Context, path string) (response, transport.CloseReason) {
	conn := d.conn
	stop := context.AfterFunc(ctx, func() { conn.Close(transport.CloseReasonOf(ctx)) })
	defer stop()
	conn.Write(formatGet(d.address, path))
	if reason := conn.Flush(); reason != transport.Open {
		return response{}, reason
	}
	return readResponse(conn)
}

// Close closes the connection, if there is one.
func (d *Discovery) Close(reason transport.CloseReason) {
	if d.conn != nil {
		d.conn.Close(reason)
		d.conn = nil
	}
}
