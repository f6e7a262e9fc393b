package program

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sedgespread/internal/admin"
	"sedgespread/internal/cells"
	"sedgespread/internal/membership"
	"sedgespread/internal/operator"
	"sedgespread/internal/planner"
	"sedgespread/internal/routing"
	"sedgespread/internal/store"
)

// confinement is what the operator's file adds to a driver: cells, the coordinator where it is here, and the operator's
// commands. Where there is no file there is none of it.
type confinement struct {
	p       *Program
	chair   *membership.Chair
	journal *store.Journal
	doors   []net.Listener
	orders  *operator.Orders
	leased  chan struct{} // closed once it has had a lease, if it needs one
	once    sync.Once
}

// confine opens what the operator's file asks for. Nothing serves yet.
func (p *Program) confine() (c *confinement, err error) {
	o := p.posting.Orders
	if o == nil {
		return nil, nil
	}
	c = &confinement{p: p, orders: o, leased: make(chan struct{})}
	if o.Cells.GetCoordination() == nil {
		close(c.leased)
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if o.Admin != nil {
		if err := c.open("admin.listen", o.Admin.Listen); err != nil {
			return nil, err
		}
	}
	if o.Cells == nil {
		return c, nil
	}
	p.router.Confine(o.Gate(p.descriptors.Limit() / roomShare))
	p.lobby.crowded = p.router.Crowded
	if k := o.Cells.Coordination; k != nil && k.Here {
		if c.journal, err = store.Open(k.Journal); err != nil {
			return nil, o.Reject("cells.coordination.journal", err)
		}
		var fill membership.Fill
		if k.FillHook != "" {
			fill = membership.HTTPFill(k.FillHook)
		}
		c.chair, err = membership.NewChair(o.Book(), c.journal, millis(k.LeaseMs), millis(k.HoldMs), fill, p.log)
		if err != nil {
			return nil, o.Reject("cells.coordination.journal", err)
		}
		return c, c.open("cells.coordination.at", k.At)
	}
	return c, nil
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *confinement) open(field, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return c.orders.Reject(field, err)
	}
	c.doors = append(c.doors, l)
	return nil
}

func (c *confinement) close() {
	for _, l := range c.doors {
		l.Close()
	}
	if c.journal != nil {
		c.journal.Close()
	}
}

// run serves until the context ends.
func (c *confinement) run(ctx context.Context) error {
	defer c.close()
	var tasks errgroup.Group
	doors := c.doors
	if c.orders.Admin != nil {
		l := doors[0]
		doors = doors[1:]
		tasks.Go(func() error { return admin.Serve(ctx, l, c) })
	}
	if c.chair != nil {
		tasks.Go(func() error { c.chair.Run(ctx); return nil })
		tasks.Go(func() error { return c.chair.Serve(ctx, doors[0]) })
	}
	if k := c.orders.Cells.GetCoordination(); k != nil {
		incarnation := uint64(time.Now().UnixNano())
		f := membership.NewFollower(k.At, c.p.posting.Name, incarnation, millis(k.LeaseMs), c, c.p.log)
		tasks.Go(func() error { f.Run(ctx); return nil })
	}
	return tasks.Wait()
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
	if next.Fixed() != c.orders.Fixed() {
		return next.Reject("", errors.New("admin, groups_a_tenant, budget and coordination need a restart"))
	}
	if next.Cells == nil {
		return nil
	}
	if c.chair != nil { // which knows all that this driver's gate does
		err = c.chair.Become(next.Layout(), next.Pins())
	}
	if err == nil {
		err = routing.Cells(c.p.router, func(_ int64, g *cells.Gate) error {
			return g.Become(next.Layout(), next.Tenancy(), next.Pins(), next.Weights())
		})
	}
	if err != nil {
		return next.Reject("cells", err)
	}
	c.orders = next
	return nil
}

var (
	errNoCells       = errors.New("this instance has no cells: its operator's file says nothing of them")
	errNoCoordinator = errors.New("this instance has no coordinator: its operator's file says nothing of coordination")
)

const heaviestShown = 20

// Cells tells what the gate has counted and holds.
func (c *confinement) Cells() cells.Figures {
	if c.orders.Cells == nil {
		return cells.Figures{}
	}
	return routing.Cells(c.p.router, func(now int64, g *cells.Gate) cells.Figures { return g.Figures(now, heaviestShown) })
}

// Where tells where a tenant is.
func (c *confinement) Where(t cells.Tenant, key string) admin.Place {
	if c.orders.Cells == nil {
		return admin.Place{Tenant: t, Why: errNoCells.Error()}
	}
	return routing.Cells(c.p.router, func(now int64, g *cells.Gate) admin.Place {
		l, b := g.Layout(), g.Book()
		seat, place := b.Seat(t), admin.Place{Tenant: t, Why: "hashed"}
		if e, moved := b.Entry(t); moved {
			place.Why, place.To, place.Epoch, place.Floor = "moved", e.To, e.Epoch, e.Floor
		} else if b.Pinned(t) {
			place.Why = "pinned"
		}
		place.Cell, place.Stage = l.Name(seat.Cell), seat.Stage.String()
		if seat.Cell != cells.NoCell {
			place.Groups, place.Group = l.Shard(t, seat.Cell), int64(l.Group(t, key, seat.Cell))
		}
		place.Load = g.Load(t, now)
		return place
	})
}

// coordinator is the way to the coordinator.
func (c *confinement) coordinator() (membership.Coordinator, error) {
	k := c.orders.Cells.GetCoordination()
	if k == nil {
		return membership.Coordinator{}, errNoCoordinator
	}
	return membership.Dial(k.At), nil
}

// State tells where moves stand.
func (c *confinement) State(ctx context.Context) (membership.State, error) {
	at, err := c.coordinator()
	if err != nil {
		return membership.State{}, err
	}
	return at.State(ctx)
}

// Move asks the coordinator for moves.
func (c *confinement) Move(ctx context.Context, moves []membership.Move) error {
	at, err := c.coordinator()
	if err != nil {
		return err
	}
	return at.Move(ctx, moves)
}

// Abort asks the coordinator to call a move off.
func (c *confinement) Abort(ctx context.Context, m membership.Move) error {
	at, err := c.coordinator()
	if err != nil {
		return err
	}
	return at.Abort(ctx, m)
}

// Plan plans for the loads that the drivers tell of, or for those of this instance where there is no coordinator.
func (c *confinement) Plan(ctx context.Context, most int) (admin.Plan, error) {
	if c.orders.Cells == nil {
		return admin.Plan{}, errNoCells
	}
	loads := c.Cells().Heavy
	if c.orders.Cells.Coordination != nil {
		state, err := c.State(ctx)
		if err != nil {
			return admin.Plan{}, err
		}
		loads = state.Loads
	}
	rooms, halls := c.orders.Rooms(), c.orders.Halls()
	for _, r := range rooms {
		if r.Able <= 0 {
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
			at = planner.Nowhere
		}
		tenants = append(tenants, planner.Tenant{Name: string(w.Tenant), Load: w.Load, At: at, Hall: halls[w.Tenant],
			Stay: place.Why == "pinned" || place.Stage != cells.Resting.String()})
	}
	return admin.Explained(tenants, rooms, most), nil
}
