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
	"sedgespread/internal/council/server"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/membership"
	"sedgespread/internal/membership/gossip"
	"sedgespread/internal/operator"
	"sedgespread/internal/planner"
	"sedgespread/internal/routing"
	"sedgespread/internal/store"
)

// operatorServices is what the operator file adds to a driver: cells, the coordinator if this
// instance runs it, and the admin commands.
type operatorServices struct {
	program       *Program
	coordinator   *membership.CoordinatorServer
	journal       *store.Journal
	councilNode   *server.Server          // nil unless this instance is a council voter
	fleetServer   *membership.FleetServer // the fleet's replicated state machine; nil if there is none
	fleetAgent    *membership.FleetAgent  // nil without a fleet
	gossiper      *gossip.Gossiper        // nil without gossip
	versionsOnce  sync.Once
	startConfig   *operator.Config                // operator file as read at start-up
	startNumber   chan uint64                     // receives the start number once the fleet assigns it
	versionsReady chan struct{}                   // closed once a version lease is granted, or if none is needed
	adminListener net.Listener                    // for admin commands; may be nil
	peerListener  net.Listener                    // for drivers and voters; may be nil
	current       atomic.Pointer[operator.Config] // operator file in effect
	leaseReady    chan struct{}                   // closed once a cell lease is granted, or if none is needed
	leaseOnce     sync.Once
}

// openOperatorServices opens what the operator file configures. run starts serving.
func (p *Program) openOperatorServices() (services *operatorServices, err error) {
	config := p.config.OperatorConfig
	if config == nil {
		return nil, nil
	}
	services = &operatorServices{program: p, startConfig: config,
		leaseReady: make(chan struct{}), versionsReady: make(chan struct{}),
		startNumber: make(chan uint64, 1)}
	services.current.Store(config)
	if config.Cells.GetCoordination() == nil {
		close(services.leaseReady)
	}
	if config.Fleet == nil {
		close(services.versionsReady)
	}
	defer func() {
		if err != nil {
			services.close()
		}
	}()
	if config.Admin != nil {
		if services.adminListener, err = services.listen("admin.listen", config.Admin.Listen); err != nil {
			return nil, err
		}
	}
	if config.Cells != nil {
		p.router.EnableAdmission(config.AdmissionController(p.descriptors.Limit() / idleClientsDivisor))
		p.idleClients.overusedCell = p.router.MostOverConnectionShare
	}
	if config.Fleet != nil {
		if err = services.joinFleet(); err != nil {
			return nil, err
		}
	}
	if config.Council.GetId() != 0 {
		return services, services.openCouncil()
	}
	if config.Cells.GetCoordination().GetHere() {
		return services, services.openCoordinator()
	}
	return services, nil
}

// config returns the operator file that is in effect.
func (s *operatorServices) config() *operator.Config { return s.current.Load() }

// cellFill returns the hook that asks the store to fill cells, or nil.
func (s *operatorServices) cellFill() membership.FillFunc {
	if hook := s.config().Cells.GetCoordination().GetFillHook(); hook != "" {
		return membership.NewHTTPFill(hook)
	}
	return nil
}

// openCoordinator opens a coordinator that runs on this instance alone.
func (s *operatorServices) openCoordinator() (err error) {
	config := s.config()
	coordination := config.Cells.Coordination
	if s.journal, err = store.Open(coordination.Journal); err != nil {
		return config.ErrorAt("cells.coordination.journal", err)
	}
	s.coordinator, err = membership.NewCoordinatorServer(config.Directory(), s.journal, milliseconds(coordination.LeaseMs),
		milliseconds(coordination.HoldMs), s.cellFill(), s.program.log)
	if err != nil {
		return config.ErrorAt("cells.coordination.journal", err)
	}
	s.peerListener, err = s.listen("cells.coordination.at", coordination.At)
	return err
}

const (
	electionTicks = 10   // without a leader, before a voter starts an election
	clockDrift    = 0.01 // maximum relative difference between clock rates
)

// openCouncil opens this instance's council node and its replicated state machines.
func (s *operatorServices) openCouncil() (err error) {
	config := s.config()
	councilConfig := config.Council
	machines := map[string]server.StateMachine{}
	if coordination := config.Cells.GetCoordination(); coordination != nil {
		s.coordinator, err = membership.NewReplicatedCoordinatorServer(config.Directory(), milliseconds(coordination.LeaseMs),
			milliseconds(coordination.HoldMs), milliseconds(councilConfig.ClockErrorMs), s.cellFill(), s.program.log)
		if err != nil {
			return config.ErrorAt("cells", err)
		}
		machines[membership.CoordinatorStateMachineName] = s.coordinator.StateMachine()
	}
	if config.Fleet != nil {
		s.fleetServer = membership.NewFleetServer(membership.FleetConfig{Lease: milliseconds(config.Fleet.LeaseMs),
			ForgetAfter:     time.Duration(config.ForgetSeconds()) * time.Second,
			MaxShutOutShare: config.Fleet.MostShutOut}, s.program.log)
		machines[membership.FleetStateMachineName] = s.fleetServer
		if err := s.fleetServer.OpenTrails(councilConfig.Disk + ".trails"); err != nil {
			return config.ErrorAt("council.disk", err)
		}
	}
	peers := server.VoterAddresses{}
	for _, voter := range councilConfig.Voter {
		peers[council.VoterID(voter.Id)] = voter.At
	}
	timing := council.Timing{Tick: int64(milliseconds(config.TickMs())), ElectionTicks: electionTicks, MaxDrift: clockDrift}
	if s.councilNode, err = server.Open(council.VoterID(councilConfig.Id), peers, councilConfig.Join,
		councilConfig.Disk, timing, machines, s.program.log); err != nil {
		return config.ErrorAt("council.disk", err)
	}
	if s.coordinator != nil {
		s.coordinator.AttachCouncil(s.councilNode)
	}
	if s.fleetServer != nil {
		s.fleetServer.AttachCouncil(s.councilNode)
	}
	s.peerListener, err = s.listen("council.listen", config.VoterAddress())
	return err
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *operatorServices) listen(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, s.config().ErrorAt(field, err)
	}
	return l, nil
}

func (s *operatorServices) close() {
	for _, l := range []net.Listener{s.adminListener, s.peerListener} {
		if l != nil {
			l.Close()
		}
	}
	if s.journal != nil {
		s.journal.Close()
	}
}

// run serves until the context ends.
func (s *operatorServices) run(ctx context.Context) error {
	defer s.close()
	var tasks errgroup.Group
	if s.adminListener != nil {
		tasks.Go(func() error { return admin.Serve(ctx, s.adminListener, s) })
	}
	if s.peerListener != nil {
		tasks.Go(func() error { return jsonhttp.Serve(ctx, s.peerListener, s.peerHandler()) })
	}
	if s.councilNode != nil {
		tasks.Go(func() error { s.councilNode.Run(ctx); return nil })
	}
	if s.coordinator != nil {
		tasks.Go(func() error { s.coordinator.Run(ctx); return nil })
	}
	if coordination := s.config().Cells.GetCoordination(); coordination != nil {
		tasks.Go(func() error { s.followLeases(ctx, milliseconds(coordination.LeaseMs)); return nil })
	}
	if s.fleetServer != nil {
		tasks.Go(func() error { s.fleetServer.Run(ctx); return nil })
	}
	if s.fleetAgent != nil {
		tasks.Go(func() error { s.fleetAgent.Run(ctx); return nil })
	}
	if s.gossiper != nil {
		tasks.Go(func() error { s.gossiper.Run(ctx); return nil })
	}
	return tasks.Wait()
}

// followLeases renews cell leases until the context ends. The incarnation is the start number where
// there is a fleet, and the current time otherwise.
func (s *operatorServices) followLeases(ctx context.Context, lease time.Duration) {
	incarnation := uint64(clock.New().Now())
	if s.fleetAgent != nil {
		select {
		case incarnation = <-s.startNumber:
		case <-ctx.Done():
			return
		}
	}
	membership.NewCellAgent(s.config().CoordinatorAddresses(), s.program.config.Name, incarnation, lease, s, s.program.log).Run(ctx)
}

// peerHandler returns the handler of requests from drivers and voters.
func (s *operatorServices) peerHandler() http.Handler {
	mux := http.NewServeMux()
	if s.coordinator != nil {
		s.coordinator.Handle(mux)
	}
	if s.fleetServer != nil {
		s.fleetServer.Handle(mux)
	}
	if s.councilNode != nil {
		s.councilNode.RegisterHandlers(mux)
	}
	return mux
}

// CellReport returns this driver's report to the coordinator.
func (s *operatorServices) CellReport(name string, incarnation uint64) (cells.Report, int64) {
	return s.program.router.CellReport(name, incarnation)
}

// ApplyCellGrant applies a grant from the coordinator. The first one makes this driver ready for
// clients.
func (s *operatorServices) ApplyCellGrant(requestedAt int64, grant cells.Grant) error {
	err := s.program.router.ApplyCellGrant(requestedAt, grant)
	if err == nil {
		s.leaseOnce.Do(func() { close(s.leaseReady) })
	}
	return err
}

// reload applies the operator file as it is now, or returns an error and changes nothing.
func (s *operatorServices) reload(path string) error {
	next, err := operator.Read(path)
	if err != nil {
		return err
	}
	if next.StartupSettings() != s.config().StartupSettings() {
		return next.ErrorAt("", errors.New("admin, council, fleet, groups_a_tenant, budget and coordination need a restart"))
	}
	if next.Fleet != nil {
		return next.ErrorAt("fleet", errors.New("the rulebook is managed by the fleet: use `sedgespread fleet propose` to change it"))
	}
	return s.apply(next)
}

// apply puts another operator file into effect, or returns an error and changes nothing.
func (s *operatorServices) apply(next *operator.Config) (err error) {
	if next.Cells == nil {
		return nil
	}
	if s.coordinator != nil { // if it accepts the file, so does the admission controller
		err = s.coordinator.UpdateLayout(next.Layout(), next.Pins())
	}
	if err == nil {
		err = routing.ReadAdmission(s.program.router, func(_ int64, controller *cells.AdmissionController) error {
			return controller.Update(next.Layout(), next.TenantResolver(), next.Pins(), next.Weights())
		})
	}
	if err != nil {
		return next.ErrorAt("cells", err)
	}
	s.current.Store(next)
	return nil
}

var (
	errNoCells       = errors.New("cells are not configured in this instance's operator file")
	errNoFleet       = errors.New("fleet is not configured in this instance's operator file")
	errNoCouncil     = errors.New("council is not configured in this instance's operator file")
	errNoCoordinator = errors.New("coordination is not configured in this instance's operator file")
)

const maxTenantsShown = 20

// Cells returns the statistics of the admission controller.
func (s *operatorServices) Cells() cells.Stats {
	if s.config().Cells == nil {
		return cells.Stats{}
	}
	return routing.ReadAdmission(s.program.router, func(now int64, controller *cells.AdmissionController) cells.Stats {
		return controller.Stats(now, maxTenantsShown)
	})
}

// TenantPlacement returns the placement of a tenant, and the group that holds a key of it.
func (s *operatorServices) TenantPlacement(tenant cells.Tenant, key string) admin.Placement {
	if s.config().Cells == nil {
		return admin.Placement{Tenant: tenant, Reason: errNoCells.Error()}
	}
	return routing.ReadAdmission(s.program.router, func(now int64, controller *cells.AdmissionController) admin.Placement {
		layout, directory := controller.Layout(), controller.Directory()
		placement, result := directory.Placement(tenant), admin.Placement{Tenant: tenant, Reason: "hashed"}
		if entry, moved := directory.Entry(tenant); moved {
			result.Reason, result.TargetCell, result.Epoch, result.MinPosition = "moved", entry.To, entry.Epoch, entry.MinPosition
		} else if directory.Pinned(tenant) {
			result.Reason = "pinned"
		}
		result.Cell, result.Stage = layout.Name(placement.Cell), placement.Stage.String()
		if placement.Cell != cells.NoCell {
			result.Groups, result.Group = layout.TenantGroups(tenant, placement.Cell), int64(layout.Group(tenant, key, placement.Cell))
		}
		result.Load = controller.Load(tenant, now)
		return result
	})
}

// dialCoordinator returns a client of the coordinator.
func (s *operatorServices) dialCoordinator() (membership.Client, error) {
	if s.config().Cells.GetCoordination() == nil {
		return membership.Client{}, errNoCoordinator
	}
	return membership.NewClient(s.config().CoordinatorAddresses()...), nil
}

// Council returns the state of the council, from this instance's own node or else from the first
// voter that answers.
func (s *operatorServices) Council(ctx context.Context) (server.State, error) {
	switch {
	case s.councilNode != nil:
		return s.councilNode.State(), nil
	case s.config().Council == nil:
		return server.State{}, errNoCouncil
	}
	return membership.NewClient(s.config().VoterAddresses()...).Council(ctx)
}

// ChangeCouncil asks the council's leader to change the set of voters.
func (s *operatorServices) ChangeCouncil(ctx context.Context, change server.VoterChange) error {
	if s.config().Council == nil {
		return errNoCouncil
	}
	return membership.NewClient(s.config().VoterAddresses()...).ChangeCouncil(ctx, change)
}

// State returns the state of tenant moves.
func (s *operatorServices) State(ctx context.Context) (membership.CoordinatorState, error) {
	coordinator, err := s.dialCoordinator()
	if err != nil {
		return membership.CoordinatorState{}, err
	}
	return coordinator.State(ctx)
}

// Move asks the coordinator to move tenants.
func (s *operatorServices) Move(ctx context.Context, moves []membership.MoveRequest) error {
	coordinator, err := s.dialCoordinator()
	if err != nil {
		return err
	}
	return coordinator.Move(ctx, moves)
}

// Abort asks the coordinator to abort a move.
func (s *operatorServices) Abort(ctx context.Context, move membership.MoveRequest) error {
	coordinator, err := s.dialCoordinator()
	if err != nil {
		return err
	}
	return coordinator.Abort(ctx, move)
}

// Plan plans moves for the loads that all drivers report, or for this instance's loads without a
// coordinator.
func (s *operatorServices) Plan(ctx context.Context, maxMoves int) (admin.Plan, error) {
	if s.config().Cells == nil {
		return admin.Plan{}, errNoCells
	}
	loads := s.Cells().HeaviestTenants
	if s.config().Cells.Coordination != nil {
		state, err := s.State(ctx)
		if err != nil {
			return admin.Plan{}, err
		}
		loads = state.Loads
	}
	planCells, halls := s.config().PlannerCells(), s.config().TenantHalls()
	for _, planCell := range planCells {
		if planCell.Capacity <= 0 {
			return admin.Plan{}, fmt.Errorf("cell %q: capacity is not configured, but is needed for planning", planCell.Name)
		}
	}
	index := map[string]int{}
	for i, planCell := range planCells {
		index[planCell.Name] = i
	}
	tenants := make([]planner.Tenant, 0, len(loads))
	for _, load := range loads {
		placement := s.TenantPlacement(load.Tenant, "")
		cellIndex, isKnown := index[placement.Cell]
		if !isKnown {
			cellIndex = planner.NoCell
		}
		tenants = append(tenants, planner.Tenant{Name: string(load.Tenant), Load: load.Load, CurrentCell: cellIndex,
			Hall:   halls[load.Tenant],
			Pinned: placement.Reason == "pinned" || placement.Stage != cells.StageIdle.String()})
	}
	return admin.NewPlan(tenants, planCells, maxMoves), nil
}
