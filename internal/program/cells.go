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

// operatorServices is what the operator's file adds to a driver: cells, the coordinator where it is here, and the operator's
// commands. Where there is no file there is none of it.
type operatorServices struct {
	p             *Program
	coordinator   *membership.Chair
	journal       *store.Journal
	councilNode   *chamber.Chamber         // nil where this is no voter of a council
	fleetRegistry *membership.Registration // the fleet's machine there, nil for none
	agent         *membership.Agent        // nil where nothing has versions
	gossipRing    *gossip.Ring             // nil where drivers do not gossip
	versionsOnce  sync.Once
	startConfig   *operator.Orders                // as this driver started
	startNumber   chan uint64                     // takes that of this start once it has one
	versionsReady chan struct{}                   // closed once it acts on versions, if it needs to
	adminListener net.Listener                    // for commands, nil for none
	peerListener  net.Listener                    // for drivers and voters, nil for none
	current       atomic.Pointer[operator.Orders] // what is acted on now
	leaseReady    chan struct{}                   // closed once it has had a lease, if it needs one
	leaseOnce     sync.Once
}

// openOperatorServices opens what the operator's file asks for. Nothing serves yet.
func (p *Program) openOperatorServices() (c *operatorServices, err error) {
	o := p.config.OperatorConfig
	if o == nil {
		return nil, nil
	}
	c = &operatorServices{p: p, startConfig: o, leaseReady: make(chan struct{}), versionsReady: make(chan struct{}),
		startNumber: make(chan uint64, 1)}
	c.current.Store(o)
	if o.Cells.GetCoordination() == nil {
		close(c.leaseReady)
	}
	if o.Fleet == nil {
		close(c.versionsReady)
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if o.Admin != nil {
		if c.adminListener, err = c.listen("admin.listen", o.Admin.Listen); err != nil {
			return nil, err
		}
	}
	if o.Cells != nil {
		p.router.Confine(o.Gate(p.descriptors.Limit() / idleClientsDivisor))
		p.idleClients.overusedCell = p.router.Crowded
	}
	if o.Fleet != nil {
		if err = c.joinFleet(); err != nil {
			return nil, err
		}
	}
	if o.Council.GetId() != 0 {
		return c, c.openCouncil()
	}
	if o.Cells.GetCoordination().GetHere() {
		return c, c.openCoordinator()
	}
	return c, nil
}

// config is the file that is acted on now.
func (c *operatorServices) config() *operator.Orders { return c.current.Load() }

// cellFill is how the store is asked to fill cells.
func (c *operatorServices) cellFill() membership.Fill {
	if hook := c.config().Cells.GetCoordination().GetFillHook(); hook != "" {
		return membership.HTTPFill(hook)
	}
	return nil
}

// openCoordinator opens the coordinator that has no fellows.
func (c *operatorServices) openCoordinator() (err error) {
	o := c.config()
	k := o.Cells.Coordination
	if c.journal, err = store.Open(k.Journal); err != nil {
		return o.Reject("cells.coordination.journal", err)
	}
	c.coordinator, err = membership.NewChair(o.Book(), c.journal, milliseconds(k.LeaseMs), milliseconds(k.HoldMs), c.cellFill(), c.p.log)
	if err != nil {
		return o.Reject("cells.coordination.journal", err)
	}
	c.peerListener, err = c.listen("cells.coordination.at", k.At)
	return err
}

// Of a council's clocks: a voter that found no leader in so many ticks looks for one, and clocks run at the same rate but
// for that part.
const (
	electionTicks = 10
	clockDrift    = 0.01
)

// openCouncil opens this instance's seat in the council.
func (c *operatorServices) openCouncil() (err error) {
	o := c.config()
	k := o.Council
	machines := map[string]chamber.Machine{}
	if l := o.Cells.GetCoordination(); l != nil {
		c.coordinator, err = membership.NewFellow(o.Book(), milliseconds(l.LeaseMs), milliseconds(l.HoldMs), milliseconds(k.ClockErrorMs), c.cellFill(), c.p.log)
		if err != nil {
			return o.Reject("cells", err)
		}
		machines[membership.MachineName] = c.coordinator.Place()
	}
	if o.Fleet != nil {
		c.fleetRegistry = membership.NewRegistration(membership.Terms{Lease: milliseconds(o.Fleet.LeaseMs), Forget: time.Duration(o.ForgetS()) * time.Second,
			Most: o.Fleet.MostShutOut}, c.p.log)
		machines[membership.RegistrationName] = c.fleetRegistry
		if err := c.fleetRegistry.Keep(k.Disk + ".trails"); err != nil {
			return o.Reject("council.disk", err)
		}
	}
	peers := chamber.Peers{}
	for _, v := range k.Voter {
		peers[council.VoterID(v.Id)] = v.At
	}
	pace := council.Pace{Tick: int64(milliseconds(o.TickMs())), Election: electionTicks, Drift: clockDrift}
	if c.councilNode, err = chamber.Open(council.VoterID(k.Id), peers, k.Join, k.Disk, pace, machines, c.p.log); err != nil {
		return o.Reject("council.disk", err)
	}
	if c.coordinator != nil {
		c.coordinator.Join(c.councilNode)
	}
	if c.fleetRegistry != nil {
		c.fleetRegistry.Join(c.councilNode)
	}
	c.peerListener, err = c.listen("council.listen", o.SeatAt())
	return err
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *operatorServices) listen(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, c.config().Reject(field, err)
	}
	return l, nil
}

func (c *operatorServices) close() {
	for _, l := range []net.Listener{c.adminListener, c.peerListener} {
		if l != nil {
			l.Close()
		}
	}
	if c.journal != nil {
		c.journal.Close()
	}
}

// run serves until the context ends.
func (c *operatorServices) run(ctx context.Context) error {
	defer c.close()
	var tasks errgroup.Group
	if c.adminListener != nil {
		tasks.Go(func() error { return admin.Serve(ctx, c.adminListener, c) })
	}
	if c.peerListener != nil {
		tasks.Go(func() error { return jsonhttp.Serve(ctx, c.peerListener, c.peerHandler()) })
	}
	if c.councilNode != nil {
		tasks.Go(func() error { c.councilNode.Run(ctx); return nil })
	}
	if c.coordinator != nil {
		tasks.Go(func() error { c.coordinator.Run(ctx); return nil })
	}
	if k := c.config().Cells.GetCoordination(); k != nil {
		tasks.Go(func() error { c.followLeases(ctx, milliseconds(k.LeaseMs)); return nil })
	}
	if c.fleetRegistry != nil {
		tasks.Go(func() error { c.fleetRegistry.Run(ctx); return nil })
	}
	if c.agent != nil {
		tasks.Go(func() error { c.agent.Run(ctx); return nil })
	}
	if c.gossipRing != nil {
		tasks.Go(func() error { c.gossipRing.Run(ctx); return nil })
	}
	return tasks.Wait()
}

// followLeases asks for leases on cells until the context ends. Where there is a fleet this start is known by its number there, and
// else by its clock.
func (c *operatorServices) followLeases(ctx context.Context, lease time.Duration) {
	incarnation := uint64(clock.New().Now())
	if c.agent != nil {
		select {
		case incarnation = <-c.startNumber:
		case <-ctx.Done():
			return
		}
	}
	membership.NewFollower(c.config().CoordinatorsAt(), c.p.config.Name, incarnation, lease, c, c.p.log).Run(ctx)
}

// peerHandler is what drivers and voters may ask here.
func (c *operatorServices) peerHandler() http.Handler {
	mux := http.NewServeMux()
	if c.coordinator != nil {
		c.coordinator.Handle(mux)
	}
	if c.fleetRegistry != nil {
		c.fleetRegistry.Handle(mux)
	}
	if c.councilNode != nil {
		c.councilNode.Handle(mux)
	}
	return mux
}

// Report is what the coordinator is told.
func (c *operatorServices) Report(name string, incarnation uint64) (cells.Report, int64) {
	return c.p.router.Report(name, incarnation)
}

// ReportGrant takes what the coordinator granted. With the first lease this driver is ready to take clients.
func (c *operatorServices) ReportGrant(asked int64, g cells.Grant) error {
	err := c.p.router.ReportGrant(asked, g)
	if err == nil {
		c.leaseOnce.Do(func() { close(c.leaseReady) })
	}
	return err
}

// reload takes over the operator's file as it is now: all of it, or an error and nothing.
func (c *operatorServices) reload(path string) error {
	next, err := operator.Read(path)
	if err != nil {
		return err
	}
	if next.Fixed() != c.config().Fixed() {
		return next.Reject("", errors.New("admin, council, fleet, groups_a_tenant, budget and coordination need a restart"))
	}
	if next.Fleet != nil {
		return next.Reject("fleet", errors.New("all drivers act on one rulebook: `sedgespread fleet propose` brings another"))
	}
	return c.apply(next)
}

// apply acts on another file from now on: all of it, or an error and nothing.
func (c *operatorServices) apply(next *operator.Orders) (err error) {
	if next.Cells == nil {
		return nil
	}
	if c.coordinator != nil { // which knows all that this driver's gate does
		err = c.coordinator.Become(next.Layout(), next.Pins())
	}
	if err == nil {
		err = routing.Cells(c.p.router, func(_ int64, g *cells.AdmissionController) error {
			return g.Update(next.Layout(), next.Tenancy(), next.Pins(), next.Weights())
		})
	}
	if err != nil {
		return next.Reject("cells", err)
	}
	c.current.Store(next)
	return nil
}

var (
	errNoCells       = errors.New("this instance has no cells: its operator's file says nothing of them")
	errNoFleet       = errors.New("this instance stands in no roster: its operator's file says nothing of a fleet")
	errNoCouncil     = errors.New("this instance knows of no council: its operator's file says nothing of one")
	errNoCoordinator = errors.New("this instance has no coordinator: its operator's file says nothing of coordination")
)

const maxTenantsShown = 20

// Cells tells what the gate has counted and holds.
func (c *operatorServices) Cells() cells.Stats {
	if c.config().Cells == nil {
		return cells.Stats{}
	}
	return routing.Cells(c.p.router, func(now int64, g *cells.AdmissionController) cells.Stats { return g.Stats(now, maxTenantsShown) })
}

// Where tells where a tenant is.
func (c *operatorServices) Where(t cells.Tenant, key string) admin.Place {
	if c.config().Cells == nil {
		return admin.Place{Tenant: t, Why: errNoCells.Error()}
	}
	return routing.Cells(c.p.router, func(now int64, g *cells.AdmissionController) admin.Place {
		l, b := g.Layout(), g.Directory()
		seat, place := b.Placement(t), admin.Place{Tenant: t, Why: "hashed"}
		if e, moved := b.Entry(t); moved {
			place.Why, place.To, place.Epoch, place.Floor = "moved", e.To, e.Epoch, e.MinPosition
		} else if b.Pinned(t) {
			place.Why = "pinned"
		}
		place.Cell, place.Stage = l.Name(seat.Cell), seat.Stage.String()
		if seat.Cell != cells.NoCell {
			place.Groups, place.Group = l.TenantGroups(t, seat.Cell), int64(l.Group(t, key, seat.Cell))
		}
		place.Load = g.Load(t, now)
		return place
	})
}

// dialCoordinator is the way to the coordinator.
func (c *operatorServices) dialCoordinator() (membership.Coordinator, error) {
	if c.config().Cells.GetCoordination() == nil {
		return membership.Coordinator{}, errNoCoordinator
	}
	return membership.Dial(c.config().CoordinatorsAt()...), nil
}

// Council tells how the council stands, as this instance's own seat knows, or else as the first voter does that answers.
func (c *operatorServices) Council(ctx context.Context) (chamber.State, error) {
	switch {
	case c.councilNode != nil:
		return c.councilNode.State(), nil
	case c.config().Council == nil:
		return chamber.State{}, errNoCouncil
	}
	return membership.Dial(c.config().VotersAt()...).Council(ctx)
}

// ChangeCouncil asks the council's leader for other voters.
func (c *operatorServices) ChangeCouncil(ctx context.Context, change chamber.Change) error {
	if c.config().Council == nil {
		return errNoCouncil
	}
	return membership.Dial(c.config().VotersAt()...).ChangeCouncil(ctx, change)
}

// State tells where moves stand.
func (c *operatorServices) State(ctx context.Context) (membership.State, error) {
	at, err := c.dialCoordinator()
	if err != nil {
		return membership.State{}, err
	}
	return at.State(ctx)
}

// Move asks the coordinator for moves.
func (c *operatorServices) Move(ctx context.Context, moves []membership.Move) error {
	at, err := c.dialCoordinator()
	if err != nil {
		return err
	}
	return at.Move(ctx, moves)
}

// Abort asks the coordinator to call a move off.
func (c *operatorServices) Abort(ctx context.Context, m membership.Move) error {
	at, err := c.dialCoordinator()
	if err != nil {
		return err
	}
	return at.Abort(ctx, m)
}

// Plan plans for the loads that the drivers tell of, or for those of this instance where there is no coordinator.
func (c *operatorServices) Plan(ctx context.Context, most int) (admin.Plan, error) {
	if c.config().Cells == nil {
		return admin.Plan{}, errNoCells
	}
	loads := c.Cells().HeaviestTenants
	if c.config().Cells.Coordination != nil {
		state, err := c.State(ctx)
		if err != nil {
			return admin.Plan{}, err
		}
		loads = state.Loads
	}
	rooms, halls := c.config().Rooms(), c.config().Halls()
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
		place := c.Where(w.Tenant, "")
		at, known := index[place.Cell]
		if !known {
			at = planner.NoCell
		}
		tenants = append(tenants, planner.Tenant{Name: string(w.Tenant), Load: w.Load, CurrentCell: at, Hall: halls[w.Tenant],
			Pinned: place.Why == "pinned" || place.Stage != cells.StageIdle.String()})
	}
	return admin.Explained(tenants, rooms, most), nil
}
