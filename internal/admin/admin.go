// Package admin provides the HTTP server and client of the admin API, which a running instance serves on
// a loopback address for operators.
package admin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sedgespread/internal/cells"
	"sedgespread/internal/council/server"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/membership"
)

// Backend is the part of an instance that the admin API exposes.
type Backend interface {
	Cells() cells.Stats
	TenantPlacement(tenant cells.Tenant, key string) Placement
	State(ctx context.Context) (membership.CoordinatorState, error)
	Move(ctx context.Context, moves []membership.MoveRequest) error
	Abort(ctx context.Context, move membership.MoveRequest) error
	Plan(ctx context.Context, maxMoves int) (Plan, error)
	Council(ctx context.Context) (server.State, error)
	ChangeCouncil(ctx context.Context, change server.VoterChange) error
	Fleet(ctx context.Context) (membership.FleetState, error)
	ChangeFleet(ctx context.Context, wish membership.FleetChange) error
	Audit(ctx context.Context, question membership.AuditQuery) (membership.AuditResult, error)
}

// Placement is the placement of a tenant as known to one instance.
type Placement struct {
	Tenant      cells.Tenant `json:"tenant"`
	Cell        string       `json:"cell"`
	Reason      string       `json:"why"` // "hashed", "pinned" or "moved"
	Groups      cells.Groups `json:"groups"`
	Group       int64        `json:"group"` // group of the requested key
	Stage       string       `json:"stage"`
	TargetCell  string       `json:"to,omitempty"`
	Epoch       cells.Epoch  `json:"epoch"`
	MinPosition int64        `json:"floor,omitempty"` // members must have reached this position to serve reads
	Load        float64      `json:"load"`            // RPCs per second at this instance, 0 if not among the heaviest tenants
}

// Plan is a plan for the loads that drivers reported. Worst and Mean are the maximum and the mean planned
// load of a cell, Bound is a lower bound of Worst and Before is the current maximum, all as fractions of
// capacity. Exact reports whether some plan is known to reach Bound.
type Plan struct {
	Worst, Mean, Bound, Before float64
	Exact                      bool
	Cells                      []CellPlan
	Moves                      []membership.MoveRequest
	Tenants                    []TenantPlan
}

// CellPlan is the load of a cell before and after a plan, as a fraction of its capacity.
type CellPlan struct {
	Name          string
	Before, After float64
}

// TenantPlan explains the placement of a tenant in a plan.
type TenantPlan struct {
	Tenant       cells.Tenant
	Load         float64
	From, To     string
	Reason       string             `json:"Why"`
	Alternatives map[string]float64 `json:"Else"` // maximum cell load if only this tenant were in another cell
}

// Query is a request for the placement of a tenant or for a plan.
type Query struct {
	Tenant   cells.Tenant `json:"tenant"`
	Key      string       `json:"key"`
	MaxMoves int          `json:"most"` // limit of moves in a plan, none if negative
}

// Serve serves the admin API until ctx ends.
func Serve(ctx context.Context, listener net.Listener, backend Backend) error {
	mux := http.NewServeMux()
	handle := func(command string, handler http.HandlerFunc) { mux.Handle("POST /"+command, handler) }
	handle("cells/list", jsonhttp.QueryHandler(func(context.Context) (cells.Stats, error) { return backend.Cells(), nil }))
	handle("cells/show", jsonhttp.Handler(func(_ context.Context, query Query) (Placement, error) {
		return backend.TenantPlacement(query.Tenant, query.Key), nil
	}))
	handle("cells/moves", jsonhttp.QueryHandler(backend.State))
	handle("cells/plan", jsonhttp.Handler(func(ctx context.Context, query Query) (Plan, error) { return backend.Plan(ctx, query.MaxMoves) }))
	handle("cells/move", jsonhttp.ActionHandler(backend.Move))
	handle("cells/abort", jsonhttp.ActionHandler(backend.Abort))
	mux.Handle("GET /metrics", metricsHandler(backend))
	handle("fleet/council", jsonhttp.QueryHandler(backend.Council))
	handle("fleet/council/change", jsonhttp.ActionHandler(backend.ChangeCouncil))
	handle("fleet/state", jsonhttp.QueryHandler(backend.Fleet))
	handle("fleet/audit", jsonhttp.Handler(backend.Audit))
	handle("fleet/wish", jsonhttp.ActionHandler(backend.ChangeFleet))
	return jsonhttp.Serve(ctx, listener, requireLoopbackHost(mux))
}

// requireLoopbackHost rejects requests whose Host header is not a loopback address, to protect against
// DNS rebinding by web pages in the operator's browser.
func requireLoopbackHost(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if addrPort, err := netip.ParseAddrPort(r.Host); err != nil || !addrPort.Addr().IsLoopback() {
			http.Error(w, "only a loopback address may be named as the host", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Client calls the admin API of an instance.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

const requestTimeout = 30 * time.Second

// NewCellsClient returns a client for the cells commands of the instance at an admin address.
func NewCellsClient(address string) Client { return newClient(address, "cells") }

// NewFleetClient returns a client for the fleet commands of the instance at an admin address.
func NewFleetClient(address string) Client { return newClient(address, "fleet") }

func newClient(address, area string) Client {
	return Client{baseURL: "http://" + address + "/" + area + "/", httpClient: &http.Client{Timeout: requestTimeout}}
}

// Call sends a command and decodes the result into response, unless that is nil.
func (c Client) Call(ctx context.Context, command string, request, response any) error {
	return jsonhttp.Post(ctx, c.httpClient, c.baseURL+command, request, response)
}
