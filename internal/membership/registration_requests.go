package membership

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sedgespread/internal/audit"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// refusal is one of the roster's as it is told over HTTP.
type refusal struct{ *roster.RefusedError }

// Status tells whether asking for a number would help.
func (r refusal) Status() int {
	if r.ShouldRejoin {
		return http.StatusConflict
	}
	return http.StatusForbidden
}

func told(err error) error {
	var r *roster.RefusedError
	if errors.As(err, &r) {
		return refusal{r}
	}
	return err
}

// joining is what a start asks first: without a number for one, and with it to take it.
type joining struct {
	Claim roster.Claim       `json:"claim"`
	Start roster.StartNumber `json:"start"`
}

// Join offers a start its number, or lets it take it.
func (m *FleetServer) join(ctx context.Context, j joining) (roster.StartNumber, error) {
	m.mu.Lock()
	offered, err := m.roster.Offer(j.Claim)
	m.mu.Unlock()
	if err != nil || j.Start == 0 {
		return offered, told(err)
	}
	_, err = m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
		records, err := m.roster.Confirm(m.now(), j.Claim, j.Start)
		return ofRoster(records), told(err)
	})
	return j.Start, err
}

// asking is what a driver asks a lease with.
type asking struct {
	Name      string            `json:"name"`
	Token     string            `json:"token"`
	Sightings []versions.Report `json:"seen"`
	WaitMs    int64             `json:"wait_ms"`
	Gossip    *hears            `json:"hears,omitempty"` // nil where drivers do not gossip
	Trails    []audit.Segment   `json:"trails,omitempty"`
}

// hears is whom a driver does not hear of those that it did.
type hears struct {
	Unreachable []string `json:"unheard,omitempty"`
}

// granted is what it gets.
type granted struct {
	versions.Grant
	StoredTrailSeq uint64 `json:"held"` // entry up to which the start's trail is held here
}

// renew gives a lease, at once where there are orders and else once something has changed or the wait is over.
func (m *FleetServer) renew(ctx context.Context, a asking) (granted, error) {
	m.mu.Lock()
	if !m.decisions.ledger.acts() {
		m.mu.Unlock()
		return granted{}, chamber.ErrNotLeading
	}
	m.hear(a.Trails, false) // also of a start that gets no lease any more
	if err := m.roster.RenewLease(m.now(), a.Name, a.Token); err != nil {
		m.mu.Unlock()
		return granted{}, told(err)
	}
	d, _ := m.roster.Find(a.Name)
	if a.Gossip != nil {
		m.roster.ReportUnreachable(a.Name, a.Gossip.Unreachable)
	}
	m.versions.RecordReports(sign(d), a.Sightings)
	orders, changed := m.versions.Assignments(sign(d)), m.changed.rings
	g := granted{versions.Grant{Lease: int64(m.terms.Lease), Assignments: orders}, m.trails.LastSeq(sign(d))}
	if wait := m.paced(sign(d), orders); wait > 0 {
		g.Grant = versions.Grant{RetryAfter: wait}
	}
	m.mu.Unlock()
	if len(orders) > 0 || a.WaitMs <= 0 || g.RetryAfter > 0 {
		return g, nil
	}
	if err := await(ctx, changed, time.Duration(a.WaitMs)*time.Millisecond); err != nil {
		return granted{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Assignments = m.versions.Assignments(sign(d))
	if m.paced(sign(d), g.Assignments) > 0 { // it asks again at once, and is told when
		g.Assignments = nil
	}
	return g, nil
}

// paced is after how long a driver should ask again for texts that it needs, 0 where it may have them now. A driver that
// has a lease keeps it meanwhile. The lock is held.
func (m *FleetServer) paced(who versions.Instance, orders []versions.Assignment) (wait int64) {
	bytes := 0
	for _, o := range orders {
		bytes += len(o.Text) + len(o.ActiveText)
	}
	if bytes == 0 {
		return 0
	}
	return m.pacer.Reserve(m.now(), who, bytes)
}

// leave takes in that a driver leaves, with what is left to tell of its trail.
func (m *FleetServer) leave(ctx context.Context, a asking) error {
	_, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
		m.hear(a.Trails, true)
		return ofRoster(m.roster.Leave(m.now(), a.Name, a.Token)), nil
	})
	return err
}

// Handle lets the registration answer drivers and operators, or pass on what they ask to the one that decides.
func (m *FleetServer) Handle(mux *http.ServeMux) {
	handle := func(what string, answer http.HandlerFunc) {
		mux.Handle("POST /v1/fleet/"+what, m.decisions.ledger.leader(answer))
	}
	handle("join", jsonhttp.Handler(m.join))
	handle("renew", jsonhttp.Handler(m.renew))
	handle("leave", jsonhttp.ActionHandler(m.leave))
	handle("wish", jsonhttp.ActionHandler(m.grant))
	handle("state", jsonhttp.QueryHandler(func(context.Context) (FleetState, error) { return m.State(), nil }))
	m.handleTrails(mux)
}
