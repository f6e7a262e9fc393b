package membership

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sedgespread/internal/audit"
	"sedgespread/internal/council/server"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// refusedHTTPError adds an HTTP status to a RefusedError.
type refusedHTTPError struct{ *roster.RefusedError }

// Status returns 409 if the start should register again, and else 403.
func (r refusedHTTPError) Status() int {
	if r.ShouldRejoin {
		return http.StatusConflict
	}
	return http.StatusForbidden
}

func withHTTPStatus(err error) error {
	var refused *roster.RefusedError
	if errors.As(err, &refused) {
		return refusedHTTPError{refused}
	}
	return err
}

// joinRequest asks for a start number, or confirms the one it contains.
type joinRequest struct {
	Claim roster.Claim       `json:"claim"`
	Start roster.StartNumber `json:"start"`
}

// join offers a start its number, or confirms it.
func (s *FleetServer) join(ctx context.Context, request joinRequest) (roster.StartNumber, error) {
	s.mu.Lock()
	offered, err := s.roster.Offer(request.Claim)
	s.mu.Unlock()
	if err != nil || request.Start == 0 {
		return offered, withHTTPStatus(err)
	}
	_, err = s.propose(ctx, &s.mu, func() ([]fleetRecord, error) {
		records, err := s.roster.Confirm(s.now(), request.Claim, request.Start)
		return rosterRecords(records), withHTTPStatus(err)
	})
	return request.Start, err
}

// leaseRequest is a driver's request to renew its lease, or to leave.
type leaseRequest struct {
	Name    string            `json:"name"`
	Token   string            `json:"token"`
	Reports []versions.Report `json:"seen"`
	WaitMs  int64             `json:"wait_ms"`
	Gossip  *gossipReport     `json:"hears,omitempty"` // nil without gossip
	Trails  []audit.Segment   `json:"trails,omitempty"`
}

// gossipReport lists the peers that have become unreachable for a driver.
type gossipReport struct {
	Unreachable []string `json:"unheard,omitempty"`
}

// leaseResponse is the answer to a renewal.
type leaseResponse struct {
	versions.Grant
	StoredTrailSeq uint64 `json:"held"` // last entry that the voter holds of the start's trail
}

// renew grants a lease. It answers at once if there are orders, and else on the next change or at the end
// of the wait.
func (s *FleetServer) renew(ctx context.Context, request leaseRequest) (leaseResponse, error) {
	s.mu.Lock()
	if !s.proposer.recorder.isActing() {
		s.mu.Unlock()
		return leaseResponse{}, server.ErrNotLeading
	}
	s.storeTrails(request.Trails, false) // even if the lease is refused
	if err := s.roster.RenewLease(s.now(), request.Name, request.Token); err != nil {
		s.mu.Unlock()
		return leaseResponse{}, withHTTPStatus(err)
	}
	driver, _ := s.roster.Find(request.Name)
	if request.Gossip != nil {
		s.roster.ReportUnreachable(request.Name, request.Gossip.Unreachable)
	}
	s.versions.RecordReports(startIdentity(driver), request.Reports)
	orders, changed := s.versions.Assignments(startIdentity(driver)), s.changed.channel
	response := leaseResponse{versions.Grant{Lease: int64(s.config.Lease), Assignments: orders}, s.trails.LastSeq(startIdentity(driver))}
	if wait := s.textDelay(startIdentity(driver), orders); wait > 0 {
		response.Grant = versions.Grant{RetryAfter: wait}
	}
	s.mu.Unlock()
	if len(orders) > 0 || request.WaitMs <= 0 || response.RetryAfter > 0 {
		return response, nil
	}
	if err := waitForChange(ctx, changed, time.Duration(request.WaitMs)*time.Millisecond); err != nil {
		return leaseResponse{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response.Assignments = s.versions.Assignments(startIdentity(driver))
	if s.textDelay(startIdentity(driver), response.Assignments) > 0 { // the next request is answered with the delay
		response.Assignments = nil
	}
	return response, nil
}

// textDelay returns after how long a driver should request its texts again, 0 if they may be sent now.
// Its current lease stays valid meanwhile. The lock is held.
func (s *FleetServer) textDelay(identity versions.Instance, orders []versions.Assignment) (wait int64) {
	bytes := 0
	for _, order := range orders {
		bytes += len(order.Text) + len(order.ActiveText)
	}
	if bytes == 0 {
		return 0
	}
	return s.pacer.Reserve(s.now(), identity, bytes)
}

// leave records that a driver leaves, and stores the rest of its trail.
func (s *FleetServer) leave(ctx context.Context, request leaseRequest) error {
	_, err := s.propose(ctx, &s.mu, func() ([]fleetRecord, error) {
		s.storeTrails(request.Trails, true)
		return rosterRecords(s.roster.Leave(s.now(), request.Name, request.Token)), nil
	})
	return err
}

// Handle registers the handlers for drivers and operators. All but that for trails run on the leader.
func (s *FleetServer) Handle(mux *http.ServeMux) {
	handle := func(path string, handler http.HandlerFunc) {
		mux.Handle("POST /v1/fleet/"+path, s.proposer.recorder.onLeader(handler))
	}
	handle("join", jsonhttp.Handler(s.join))
	handle("renew", jsonhttp.Handler(s.renew))
	handle("leave", jsonhttp.ActionHandler(s.leave))
	handle("wish", jsonhttp.ActionHandler(s.changeFleet))
	handle("state", jsonhttp.QueryHandler(func(context.Context) (FleetState, error) { return s.State(), nil }))
	s.handleTrails(mux)
}
