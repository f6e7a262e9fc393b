// Package admin answers an operator's commands to a running instance, over HTTP on a loopback address, and asks them.
package admin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sedgespread/internal/cells"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/membership"
)

// Backend is what an instance lets its operator see and do.
type Backend interface {
	Cells() cells.Stats
	TenantPlacement(t cells.Tenant, key string) Placement
	State(ctx context.Context) (membership.CoordinatorState, error)
	Move(ctx context.Context, moves []membership.MoveRequest) error
	Abort(ctx context.Context, m membership.MoveRequest) error
	Plan(ctx context.Context, most int) (Plan, error)
	Council(ctx context.Context) (chamber.State, error)
	ChangeCouncil(ctx context.Context, change chamber.VoterChange) error
	Fleet(ctx context.Context) (membership.FleetState, error)
	Wish(ctx context.Context, w membership.FleetChange) error
	Audit(ctx context.Context, q membership.AuditQuery) (membership.AuditResult, error)
}

// Placement is where a tenant is, as one instance knows.
type Placement struct {
	Tenant      cells.Tenant `json:"tenant"`
	Cell        string       `json:"cell"`
	Reason      string       `json:"why"` // hashed, pinned or moved
	Groups      cells.Groups `json:"groups"`
	Group       int64        `json:"group"` // of the key that was asked for
	Stage       string       `json:"stage"`
	TargetCell  string       `json:"to,omitempty"`
	Epoch       cells.Epoch  `json:"epoch"`
	MinPosition int64        `json:"floor,omitempty"`
	Load        float64      `json:"load"` // RPCs a second at this instance, 0 for not among the heaviest
}

// Plan is what the planner made of the loads that drivers tell of.
type Plan struct {
	Worst, Mean, Bound, Before float64
	Exact                      bool
	Cells                      []CellPlan
	Moves                      []membership.MoveRequest
	Tenants                    []TenantPlan
}

// CellPlan is a cell's part of a plan. Loads are over what it can bear.
type CellPlan struct {
	Name          string
	Before, After float64
}

// TenantPlan says why a tenant is to be where it is in a plan.
type TenantPlan struct {
	Tenant       cells.Tenant
	Load         float64
	From, To     string
	Reason       string
	Alternatives map[string]float64 // the worst load if it were in another cell and all else as planned
}

// Query asks for a tenant or for a plan.
type Query struct {
	Tenant   cells.Tenant `json:"tenant"`
	Key      string       `json:"key"`
	MaxMoves int          `json:"most"` // moves of a plan, below 0 for any number
}

// Serve answers commands until the context ends.
func Serve(ctx context.Context, l net.Listener, d Backend) error {
	mux := http.NewServeMux()
	handle := func(what string, answer http.HandlerFunc) { mux.Handle("POST /"+what, answer) }
	handle("cells/list", jsonhttp.QueryHandler(func(context.Context) (cells.Stats, error) { return d.Cells(), nil }))
	handle("cells/show", jsonhttp.Handler(func(_ context.Context, w Query) (Placement, error) { return d.TenantPlacement(w.Tenant, w.Key), nil }))
	handle("cells/moves", jsonhttp.QueryHandler(d.State))
	handle("cells/plan", jsonhttp.Handler(func(ctx context.Context, w Query) (Plan, error) { return d.Plan(ctx, w.MaxMoves) }))
	handle("cells/move", jsonhttp.ActionHandler(d.Move))
	handle("cells/abort", jsonhttp.ActionHandler(d.Abort))
	mux.Handle("GET /metrics", metrics(d))
	handle("fleet/council", jsonhttp.QueryHandler(d.Council))
	handle("fleet/council/change", jsonhttp.ActionHandler(d.ChangeCouncil))
	handle("fleet/state", jsonhttp.QueryHandler(d.Fleet))
	handle("fleet/audit", jsonhttp.Handler(d.Audit))
	handle("fleet/wish", jsonhttp.ActionHandler(d.Wish))
	return jsonhttp.Serve(ctx, l, local(mux))
}

// local turns away what names a host that is no loopback address: a page in the operator's browser may send such.
func local(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if at, err := netip.ParseAddrPort(r.Host); err != nil || !at.Addr().IsLoopback() {
			http.Error(w, "only a loopback address may be named as the host", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Client asks commands of an instance.
type Client struct {
	base   string
	client *http.Client
}

const askWithin = 30 * time.Second

// NewCellsClient names an instance by its admin address, for what there is to ask of cells.
func NewCellsClient(at string) Client { return dial(at, "cells") }

// NewFleetClient names an instance by its admin address, for what there is to ask of the fleet.
func NewFleetClient(at string) Client { return dial(at, "fleet") }

func dial(at, of string) Client {
	return Client{base: "http://" + at + "/" + of + "/", client: &http.Client{Timeout: askWithin}}
}

// Call asks a command and reads its answer, into nil for none.
func (c Client) Call(ctx context.Context, what string, asked, into any) error {
	return jsonhttp.Post(ctx, c.client, c.base+what, asked, into)
}
