package program

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sedgespread/internal/admin"
	"sedgespread/internal/cells"
	"sedgespread/internal/clock"
	"sedgespread/internal/council"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/membership"
	"sedgespread/internal/membership/gossip"
	"sedgespread/internal/operator"
	"sedgespread/internal/planner"
	"sedgespread/internal/routing"
	"sedgespread/internal/store"
)

// confinement is what the operator's file adds to a driver: cells, the coordinator where it is here, and the operator's
// commands. Where there is no file there is none of it.
type confinement struct {
	p            *Program
	chair        *membership.CoordinatorServer
	journal      *store.Journal
	chamber      *chamber.Server         // nil where this is no voter of a council
	registration *membership.FleetServer // the fleet's machine there, nil for none
	agent        *membership.FleetAgent  // nil where nothing has versions
	ring         *gossip.Gossiper        // nil where drivers do not gossip
	heed         sync.Once
	origin       *operator.Config                // as this driver started
	number       chan uint64                     // takes that of this start once it has one
	heeds        chan struct{}                   // closed once it acts on versions, if it needs to
	desk         net.Listener                    // for commands, nil for none
	seat         net.Listener                    // for drivers and voters, nil for none
	acted        atomic.Pointer[operator.Config] // what is acted on now
	leased       chan struct{}                   // closed once it has had a lease, if it needs one
	once         sync.Once
}

// confine opens what the operator's file asks for. Nothing serves yet.
func (p *Program) confine() (c *confinement, err error) {
	o := p.posting.Orders
	if o == nil {
		return nil, nil
	}
	c = &confinement{p: p, origin: o, leased: make(chan struct{}), heeds: make(chan struct{}),
		number: make(chan uint64, 1)}
	c.acted.Store(o)
	if o.Cells.GetCoordination() == nil {
		close(c.leased)
	}
	if o.Fleet == nil {
		close(c.heeds)
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if o.Admin != nil {
		if c.desk, err = c.open("admin.listen", o.Admin.Listen); err != nil {
			return nil, err
		}
	}
	if o.Cells != nil {
		p.router.EnableAdmission(o.AdmissionController(p.descriptors.Limit() / roomShare))
		p.lobby.crowded = p.router.MostOverConnectionShare
	}
	if o.Fleet != nil {
		if err = c.enlist(); err != nil {
			return nil, err
		}
	}
	if o.Council.GetId() != 0 {
		return c, c.convene()
	}
	if o.Cells.GetCoordination().GetHere() {
		return c, c.coordinate()
	}
	return c, nil
}

// orders is the file that is acted on now.
func (c *confinement) orders() *operator.Config { return c.acted.Load() }

// fill is how the store is asked to fill cells.
func (c *confinement) fill() membership.FillFunc {
	if hook := c.orders().Cells.GetCoordination().GetFillHook(); hook != "" {
		return membership.NewHTTPFill(hook)
	}
	return nil
}

// coordinate opens the coordinator that has no fellows.
func (c *confinement) coordinate() (err error) {
	o := c.orders()
	k := o.Cells.Coordination
	if c.journal, err = store.Open(k.Journal); err != nil {
		return o.ErrorAt("cells.coordination.journal", err)
	}
	c.chair, err = membership.NewCoordinatorServer(o.Directory(), c.journal, millis(k.LeaseMs), millis(k.HoldMs), c.fill(), c.p.log)
	if err != nil {
		return o.ErrorAt("cells.coordination.journal", err)
	}
	c.seat, err = c.open("cells.coordination.at", k.At)
	return err
}

// Of a council's clocks: a voter that found no leader in so many ticks looks for one, and clocks run at the same rate but
// for that part.
const (
	electionTicks = 10
	clockDrift    = 0.01
)

// convene opens this instance's seat in the council.
func (c *confinement) convene() (err error) {
	o := c.orders()
	k := o.Council
	machines := map[string]chamber.StateMachine{}
	if l := o.Cells.GetCoordination(); l != nil {
		c.chair, err = membership.NewReplicatedCoordinatorServer(o.Directory(), millis(l.LeaseMs), millis(l.HoldMs), millis(k.ClockErrorMs), c.fill(), c.p.log)
		if err != nil {
			return o.ErrorAt("cells", err)
		}
		machines[membership.CoordinatorStateMachineName] = c.chair.StateMachine()
	}
	if o.Fleet != nil {
		c.registration = membership.NewFleetServer(membership.FleetConfig{Lease: millis(o.Fleet.LeaseMs), ForgetAfter: time.Duration(o.ForgetSeconds()) * time.Second,
			MaxShutOutShare: o.Fleet.MostShutOut}, c.p.log)
		machines[membership.FleetStateMachineName] = c.registration
		if err := c.registration.OpenTrails(k.Disk + ".trails"); err != nil {
			return o.ErrorAt("council.disk", err)
		}
	}
	peers := chamber.VoterAddresses{}
	for _, v := range k.Voter {
		peers[council.VoterID(v.Id)] = v.At
	}
	pace := council.Timing{Tick: int64(millis(o.TickMs())), ElectionTicks: electionTicks, MaxDrift: clockDrift}
	if c.chamber, err = chamber.Open(council.VoterID(k.Id), peers, k.Join, k.Disk, pace, machines, c.p.log); err != nil {
		return o.ErrorAt("council.disk", err)
	}
	if c.chair != nil {
		c.chair.AttachCouncil(c.chamber)
	}
	if c.registration != nil {
		c.registration.AttachCouncil(c.chamber)
	}
	c.seat, err = c.open("council.listen", o.VoterAddress())
	return err
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *confinement) open(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, c.orders().ErrorAt(field, err)
	}
	return l, nil
}

func (c *confinement) close() {
	for _, l := range []net.Listener{c.desk, c.seat} {
		if l != nil {
			l.Close()
		}
	}
	if c.journal != nil {
		c.journal.Close()
	}
}

// run serves until the context ends.
func (c *confinement) run(ctx context.Context) error {
	defer c.close()
	var tasks errgroup.Group
	if c.desk != nil {
		tasks.Go(func() error { return admin.Serve(ctx, c.desk, c) })
	}
	if c.seat != nil {
		tasks.Go(func() error { return jsonhttp.Serve(ctx, c.seat, c.answers()) })
	}
	if c.chamber != nil {
		tasks.Go(func() error { c.chamber.Run(ctx); return nil })
	}
	if c.chair != nil {
		tasks.Go(func() error { c.chair.Run(ctx); return nil })
	}
	if k := c.orders().Cells.GetCoordination(); k != nil {
		tasks.Go(func() error { c.follow(ctx, millis(k.LeaseMs)); return nil })
	}
	if c.registration != nil {
		tasks.Go(func() error { c.registration.Run(ctx); return nil })
	}
	if c.agent != nil {
		tasks.Go(func() error { c.agent.Run(ctx); return nil })
	}
	if c.ring != nil {
		tasks.Go(func() error { c.ring.Run(ctx); return nil })
	}
	return tasks.Wait()
}

// follow asks for leases on cells until the context ends. Where there is a fleet this start is known by its number there, and
// else by its clock.
func (c *confinement) follow(ctx context.Context, lease time.Duration) {
	incarnation := uint64(clock.New().Now())
	if c.agent != nil {
		select {
		case incarnation = <-c.number:
		case <-ctx.Done():
			return
		}
	}
	membership.NewCellAgent(c.orders().CoordinatorAddresses(), c.p.posting.Name, incarnation, lease, c, c.p.log).Run(ctx)
}

// answers is what drivers and voters may ask here.
func (c *confinement) answers() http.Handler {
	mux := http.NewServeMux()
	if c.chair != nil {
		c.chair.Handle(mux)
	}
	if c.registration != nil {
		c.registration.Handle(mux)
	}
	if c.chamber != nil {
		c.chamber.RegisterHandlers(mux)
	}
	return mux
}

// Report is what the coordinator is told.
func (c *confinement) Report(name string, incarnation uint64) (cells.Report, int64) {
	return c.p.router.Report(name, incarnation)
}

// ReportGrant takes what the coordinator granted. With the first lease this driver is ready to take clients.
func (c *confinement) ReportGrant(asked int64, g cells.Grant) error {
	err := c.p.router.ReportGrant(asked, g)
	if err == nil {
		c.once.Do(func() { close(c.leased) })
	}
	return err
}

// reload takes over the operator's file as it is now: all of it, or an error and nothing.
func (c *confinement) reload(path string) error {
	next, err := operator.Read(path)
	if err != nil {
		return err
	}
	if next.StartupSettings() != c.orders().StartupSettings() {
		return next.ErrorAt("", errors.New("admin, council, fleet, groups_a_tenant, budget and coordination need a restart"))
	}
	if next.Fleet != nil {
		return next.ErrorAt("fleet", errors.New("all drivers act on one rulebook: `sedgespread fleet propose` brings another"))
	}
	return c.become(next)
}

// become acts on another file from now on: all of it, or an error and nothing.
func (c *confinement) become(next *operator.Config) (err error) {
	if next.Cells == nil {
		return nil
	}
	if c.chair != nil { // which knows all that this driver's gate does
		err = c.chair.UpdateLayout(next.Layout(), next.Pins())
	}
	if err == nil {
		err = routing.ReadAdmission(c.p.router, func(_ int64, g *cells.AdmissionController) error {
			return g.Update(next.Layout(), next.TenantResolver(), next.Pins(), next.Weights())
		})
	}
	if err != nil {
		return next.ErrorAt("cells", err)
	}
	c.acted.Store(next)
	return nil
}

var (
	errNoCells       = errors.New("this instance has no cells: its operator's file says nothing of them")
	errNoFleet       = errors.New("this instance stands in no roster: its operator's file says nothing of a fleet")
	errNoCouncil     = errors.New("this instance knows of no council: its operator's file says nothing of one")
	errNoCoordinator = errors.New("this instance has no coordinator: its operator's file says nothing of coordination")
)

const heaviestShown = 20

// Cells tells what the gate has counted and holds.
func (c *confinement) Cells() cells.Stats {
	if c.orders().Cells == nil {
		return cells.Stats{}
	}
	return routing.ReadAdmission(c.p.router, func(now int64, g *cells.AdmissionController) cells.Stats { return g.Stats(now, heaviestShown) })
}

// TenantPlacement tells where a tenant is.
func (c *confinement) TenantPlacement(t cells.Tenant, key string) admin.Placement {
	if c.orders().Cells == nil {
		return admin.Placement{Tenant: t, Reason: errNoCells.Error()}
	}
	return routing.ReadAdmission(c.p.router, func(now int64, g *cells.AdmissionController) admin.Placement {
		l, b := g.Layout(), g.Directory()
		seat, place := b.Placement(t), admin.Placement{Tenant: t, Reason: "hashed"}
		if e, moved := b.Entry(t); moved {
			place.Reason, place.TargetCell, place.Epoch, place.MinPosition = "moved", e.To, e.Epoch, e.MinPosition
		} else if b.Pinned(t) {
			place.Reason = "pinned"
		}
		place.Cell, place.Stage = l.Name(seat.Cell), seat.Stage.String()
		if seat.Cell != cells.NoCell {
			place.Groups, place.Group = l.TenantGroups(t, seat.Cell), int64(l.Group(t, key, seat.Cell))
		}
		place.Load = g.Load(t, now)
		return place
	})
}

// coordinator is the way to the coordinator.
func (c *confinement) coordinator() (membership.Client, error) {
	if c.orders().Cells.GetCoordination() == nil {
		return membership.Client{}, errNoCoordinator
	}
	return membership.NewClient(c.orders().CoordinatorAddresses()...), nil
}

// Council tells how the council stands, as this instance's own seat knows, or else as the first voter does that answers.
func (c *confinement) Council(ctx context.Context) (chamber.State, error) {
	switch {
	case c.chamber != nil:
		return c.chamber.State(), nil
	case c.orders().Council == nil:
		return chamber.State{}, errNoCouncil
	}
	return membership.NewClient(c.orders().VoterAddresses()...).Council(ctx)
}

// ChangeCouncil asks the council's leader for other voters.
func (c *confinement) ChangeCouncil(ctx context.Context, change chamber.VoterChange) error {
	if c.orders().Council == nil {
		return errNoCouncil
	}
	return membership.NewClient(c.orders().VoterAddresses()...).ChangeCouncil(ctx, change)
}

// State tells where moves stand.
func (c *confinement) State(ctx context.Context) (membership.CoordinatorState, error) {
	at, err := c.coordinator()
	if err != nil {
		return membership.CoordinatorState{}, err
	}
	return at.State(ctx)
}

// Move asks the coordinator for moves.
func (c *confinement) Move(ctx context.Context, moves []membership.MoveRequest) error {
	at, err := c.coordinator()
	if err != nil {
		return err
	}
	return at.Move(ctx, moves)
}

// Abort asks the coordinator to call a move off.
func (c *confinement) Abort(ctx context.Context, m membership.MoveRequest) error {
	at, err := c.coordinator()
	if err != nil {
		return err
	}
	return at.Abort(ctx, m)
}

// Plan plans for the loads that the drivers tell of, or for those of this instance where there is no coordinator.
func (c *confinement) Plan(ctx context.Context, most int) (admin.Plan, error) {
	if c.orders().Cells == nil {
		return admin.Plan{}, errNoCells
	}
	loads := c.Cells().HeaviestTenants
	if c.orders().Cells.Coordination != nil {
		state, err := c.State(ctx)
		if err != nil {
			return admin.Plan{}, err
		}
		loads = state.Loads
	}
	rooms, halls := c.orders().PlannerCells(), c.orders().TenantHalls()
	for _, r := range rooms {
		if r.Capacity <= 0 {
			return admin.Plan{}, fmt.Errorf("cell %q: the file does not say its capacity, which a plan needs", r.Name)
		}
	}
	index := map[string]int{}
	for i, r := range rooms {
		index[r.Name] = i
	}
	tenants := make([]planner.Tenant, 0, len(loads))
	for _, w := range loads {
		place := c.TenantPlacement(w.Tenant, "")
		at, known := index[place.Cell]
		if !known {
			at = planner.NoCell
		}
		tenants = append(tenants, planner.Tenant{Name: string(w.Tenant), Load: w.Load, CurrentCell: at, Hall: halls[w.Tenant],
			Pinned: place.Reason == "pinned" || place.Stage != cells.StageIdle.String()})
	}
	return admin.NewPlan(tenants, rooms, most), nil
}
