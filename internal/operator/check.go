package operator

import (
	"fmt"
	"maps"
	"math"
	"net"
	"net/netip"
	"net/url"
	"slices"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"sedgespread/internal/cells"
	"sedgespread/internal/planner"
	"sedgespread/proto/operatorpb"
	"sedgespread/rules"
)

// check returns the first validation error of a parsed file.
func (cfg *Config) check() error {
	if cfg.Admin != nil {
		if err := cfg.checkLoopback("admin.listen", cfg.Admin.Listen); err != nil {
			return err
		}
	}
	if err := cfg.checkCouncil(); err != nil {
		return err
	}
	if err := cfg.checkFleet(); err != nil {
		return err
	}
	if cfg.Cells == nil {
		return nil
	}
	for _, check := range []func() error{cfg.checkCells, cfg.checkTenancy, cfg.checkTenants, cfg.checkBudget, cfg.checkCoordination} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback checks that address is an IP address and port on the loopback interface.
func (cfg *Config) checkLoopback(field, address string) error {
	if address == "" {
		return cfg.errorf(field, "is missing")
	}
	addrPort, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return cfg.errorf(field, "%q is not an IP address and port", address)
	case !addrPort.Addr().IsLoopback():
		return cfg.errorf(field, "%q is not a loopback address", address)
	}
	return nil
}

// checkMinimum checks that an optional value is finite and at least minimum.
func (cfg *Config) checkMinimum(field string, value *float64, minimum float64) error {
	if value != nil && (!(*value >= minimum) || math.IsInf(*value, 0)) {
		return cfg.errorf(field, "%v is out of range", *value)
	}
	return nil
}

const minWeight = 1e-6

func (cfg *Config) checkCells() error {
	names, groups := map[string]bool{}, map[int64]string{}
	if len(cfg.Cells.Cell) == 0 {
		return cfg.errorf("cells.cell", "there must be one at least")
	}
	hasHashedCell := false
	for i, cell := range cfg.Cells.Cell {
		prefix := fmt.Sprintf("cells.cell[%d].", i)
		switch {
		case cell.Name == "":
			return cfg.errorf(prefix+"name", "is missing")
		case names[cell.Name]:
			return cfg.errorf(prefix+"name", "%q stands twice", cell.Name)
		case len(cell.Group) == 0:
			return cfg.errorf(prefix+"group", "cell %q has none", cell.Name)
		case cell.Capacity < 0 || math.IsNaN(cell.Capacity) || math.IsInf(cell.Capacity, 0):
			return cfg.errorf(prefix+"capacity", "%v is out of range", cell.Capacity)
		}
		names[cell.Name] = true
		for j, group := range cell.Group {
			field := fmt.Sprintf("%sgroup[%d]", prefix, j)
			if other, taken := groups[group]; taken {
				return cfg.errorf(field, "group %d stands in cell %q already", group, other)
			}
			if group < 0 {
				return cfg.errorf(field, "%d is out of range", group)
			}
			groups[group] = cell.Name
		}
		if cell.Weight == nil || *cell.Weight != 0 {
			hasHashedCell = true
			if err := cfg.checkMinimum(prefix+"weight", cell.Weight, minWeight); err != nil {
				return err
			}
		}
	}
	if !hasHashedCell {
		return cfg.errorf("cells.cell", "all weights are 0: no cell takes the tenants that are not pinned")
	}
	if cfg.Cells.GroupsATenant > cells.MaxGroupsPerTenant {
		return cfg.errorf("cells.groups_a_tenant", "%d is more than %d", cfg.Cells.GroupsATenant, cells.MaxGroupsPerTenant)
	}
	return nil
}

func (cfg *Config) checkTenancy() error {
	tenancy := cfg.Cells.Tenancy
	if tenancy.GetOthers() == "" {
		return cfg.errorf("cells.tenancy.others", "is missing")
	}
	if _, known := operatorpb.Own_name[int32(tenancy.Own)]; !known {
		return cfg.errorf("cells.tenancy.own", "%d is none of the values", tenancy.Own)
	}
	seen := map[string]bool{}
	for i, rule := range tenancy.Rule {
		field := fmt.Sprintf("cells.tenancy.rule[%d]", i)
		key, conditionCount := "", 0
		for _, condition := range [][2]string{{"prefix", rule.Prefix}, {"user", rule.User}, {"database", rule.Database}} {
			if condition[1] != "" {
				key, conditionCount = condition[0]+" "+condition[1], conditionCount+1
			}
		}
		switch {
		case conditionCount != 1:
			return cfg.errorf(field, "%d of prefix, user and database are given, and it must be one", conditionCount)
		case rule.Tenant == "":
			return cfg.errorf(field+".tenant", "is missing")
		case seen[key]:
			return cfg.errorf(field, "%s stands twice", key)
		}
		seen[key] = true
	}
	return nil
}

func (cfg *Config) checkTenants() error {
	halls, seen := map[string]string{}, map[string]bool{} // halls is keyed by cell name
	for _, cell := range cfg.Cells.Cell {
		halls[cell.Name] = cell.Hall
	}
	for i, tenant := range cfg.Cells.Tenant {
		prefix := fmt.Sprintf("cells.tenant[%d].", i)
		switch {
		case tenant.Name == "":
			return cfg.errorf(prefix+"name", "is missing")
		case seen[tenant.Name]:
			return cfg.errorf(prefix+"name", "%q stands twice", tenant.Name)
		case tenant.Cell != "" && !hasKey(halls, tenant.Cell):
			return cfg.errorf(prefix+"cell", "there is no cell %q", tenant.Cell)
		case tenant.Hall != "" && !slices.Contains(slices.Collect(maps.Values(halls)), tenant.Hall):
			return cfg.errorf(prefix+"hall", "no cell stands in hall %q", tenant.Hall)
		case tenant.Hall != "" && tenant.Cell != "" && halls[tenant.Cell] != tenant.Hall:
			return cfg.errorf(prefix+"hall", "cell %q stands in hall %q", tenant.Cell, halls[tenant.Cell])
		}
		seen[tenant.Name] = true
		if err := cfg.checkMinimum(prefix+"weight", tenant.Weight, minWeight); err != nil {
			return err
		}
	}
	return nil
}

func hasKey(names map[string]string, name string) bool {
	_, ok := names[name]
	return ok
}

func (cfg *Config) checkBudget() error {
	budget, cellCount := cfg.Cells.Budget, uint32(len(cfg.Cells.Cell))
	switch {
	case budget == nil:
	case budget.Rpcs < cellCount:
		return cfg.errorf("cells.budget.rpcs", "%d is less than one for each of %d cells", budget.Rpcs, cellCount)
	case budget.CallOuts < cellCount:
		return cfg.errorf("cells.budget.call_outs", "%d is less than one for each of %d cells", budget.CallOuts, cellCount)
	case !(budget.Lend >= 0 && budget.Lend <= 1):
		return cfg.errorf("cells.budget.lend", "%v is not from 0 to 1", budget.Lend)
	}
	return nil
}

func (cfg *Config) checkCoordination() error {
	coordination := cfg.Cells.Coordination
	if coordination == nil {
		return nil
	}
	switch {
	case cfg.Council == nil:
		if err := cfg.checkLoopback("cells.coordination.at", coordination.At); err != nil {
			return err
		}
	case coordination.At != "":
		return cfg.errorf("cells.coordination.at", "must not be set: the council is the coordinator")
	case coordination.Here:
		return cfg.errorf("cells.coordination.here", "must not be set: the council is the coordinator")
	case coordination.LeaseMs < minLeaseTicks*cfg.TickMs():
		return cfg.errorf("cells.coordination.lease_ms", "%d is less than %d council ticks: leases would expire during a leader election",
			coordination.LeaseMs, minLeaseTicks)
	}
	for _, bounds := range []struct {
		field       string
		value       uint32
		least, most uint32
	}{{"lease_ms", coordination.LeaseMs, minLeaseMs, maxLeaseMs}, {"hold_ms", coordination.HoldMs, 100, 60_000}, {"held", coordination.Held, 1, 100_000}} {
		if bounds.value < bounds.least || bounds.value > bounds.most {
			return cfg.errorf("cells.coordination."+bounds.field, "%d is not from %d to %d", bounds.value, bounds.least, bounds.most)
		}
	}
	switch {
	case coordination.Here && coordination.Journal == "":
		return cfg.errorf("cells.coordination.journal", "is missing: this instance is the coordinator")
	case !coordination.Here && coordination.Journal != "":
		return cfg.errorf("cells.coordination.journal", "must not be set: this instance is not the coordinator")
	}
	if coordination.FillHook == "" {
		return nil
	}
	hook, err := url.Parse(coordination.FillHook)
	if err != nil || hook.Scheme != "http" || hook.Host == "" {
		return cfg.errorf("cells.coordination.fill_hook", "%q is not an http address", coordination.FillHook)
	}
	if ip := net.ParseIP(hook.Hostname()); ip == nil || !ip.IsLoopback() {
		return cfg.errorf("cells.coordination.fill_hook", "%q is not on a loopback address", coordination.FillHook)
	}
	return nil
}

const (
	defaultTickMs    = 50
	defaultProbeMs   = 1000
	minLeaseTicks    = 20 // long enough to replace a failed leader in a single election round
	minLeaseMs       = 200
	maxLeaseMs       = 300_000
	maxClockErrorMs  = 600_000
	maxForgetSeconds = 24 * 60 * 60
)

// TickMs returns the tick interval of the council in milliseconds.
func (cfg *Config) TickMs() uint32 {
	if t := cfg.Council.GetTickMs(); t != 0 {
		return t
	}
	return defaultTickMs
}

func (cfg *Config) checkCouncil() error {
	council := cfg.Council
	if council == nil {
		return nil
	}
	ids, addresses := map[uint32]bool{}, map[string]bool{}
	for i, voter := range council.Voter {
		field := fmt.Sprintf("council.voter[%d]", i)
		switch {
		case voter.Id == 0:
			return cfg.errorf(field+".id", "is missing")
		case ids[voter.Id]:
			return cfg.errorf(field+".id", "%d is a duplicate", voter.Id)
		case addresses[voter.At]:
			return cfg.errorf(field+".at", "%q is a duplicate", voter.At)
		}
		if err := cfg.checkLoopback(field+".at", voter.At); err != nil {
			return err
		}
		ids[voter.Id], addresses[voter.At] = true, true
	}
	switch n := len(council.Voter); {
	case n == 0:
		return cfg.errorf("council.voter", "at least one is required")
	case council.Id != 0 && !council.Join && n != 1 && n != 3 && n != 5 && n != 7:
		return cfg.errorf("council.voter", "%d voters: a council must start with 1, 3, 5 or 7", n)
	case council.TickMs != 0 && (council.TickMs < 5 || council.TickMs > 1000):
		return cfg.errorf("council.tick_ms", "%d is not from 5 to 1000", council.TickMs)
	case council.ClockErrorMs > maxClockErrorMs:
		return cfg.errorf("council.clock_error_ms", "%d is more than %d", council.ClockErrorMs, maxClockErrorMs)
	}
	return cfg.checkOwnVoter(ids)
}

func (cfg *Config) checkGossip() error {
	gossip := cfg.Fleet.Gossip
	if gossip == nil {
		return nil
	}
	if err := cfg.checkLoopback("fleet.gossip.listen", gossip.Listen); err != nil {
		return err
	}
	if len(gossip.Fellow) == 0 {
		return cfg.errorf("fleet.gossip.fellow", "at least one is required")
	}
	for i, address := range gossip.Fellow {
		if err := cfg.checkLoopback(fmt.Sprintf("fleet.gossip.fellow[%d]", i), address); err != nil {
			return err
		}
	}
	if gossip.ProbeMs != 0 && (gossip.ProbeMs < 20 || gossip.ProbeMs > 60_000) {
		return cfg.errorf("fleet.gossip.probe_ms", "%d is not from 20 to 60000", gossip.ProbeMs)
	}
	return nil
}

// ProbeMs returns the interval between gossip probes in milliseconds.
func (cfg *Config) ProbeMs() uint32 {
	if p := cfg.Fleet.GetGossip().GetProbeMs(); p != 0 {
		return p
	}
	return defaultProbeMs
}

func (cfg *Config) checkFleet() error {
	fleet := cfg.Fleet
	switch {
	case fleet == nil:
		return nil
	case cfg.Council == nil:
		return cfg.errorf("fleet", "needs a council")
	case cfg.Cells.GetCoordination() == nil:
		return cfg.errorf("fleet", "needs cells with coordination")
	case fleet.LeaseMs < minLeaseMs || fleet.LeaseMs > maxLeaseMs || fleet.LeaseMs < minLeaseTicks*cfg.TickMs():
		return cfg.errorf("fleet.lease_ms", "%d is not from 200 to 300000, or is less than %d council ticks", fleet.LeaseMs, minLeaseTicks)
	case !(fleet.MostShutOut >= 0 && fleet.MostShutOut <= 1):
		return cfg.errorf("fleet.most_shut_out", "%v is not from 0 to 1", fleet.MostShutOut)
	case fleet.ForgetS > maxForgetSeconds:
		return cfg.errorf("fleet.forget_s", "%d is more than 86400", fleet.ForgetS)
	}
	if err := cfg.checkGossip(); err != nil {
		return err
	}
	return nil
}

const defaultForgetSeconds = 60

// ForgetSeconds returns how many seconds after the expiry of its lease a driver is considered gone.
func (cfg *Config) ForgetSeconds() uint32 {
	if s := cfg.Fleet.GetForgetS(); s != 0 {
		return s
	}
	return defaultForgetSeconds
}

// WithRulebook returns a copy of cfg in which the cells, the tenancy rules and the tenants are those of
// the rulebook in text. An empty text returns cfg itself. The name is the path in errors.
func (cfg *Config) WithRulebook(name, text string) (*Config, error) {
	if text == "" {
		return cfg, nil
	}
	rulebook := &Config{Operator: &operatorpb.Operator{}, path: name, lines: indexLines([]byte(text))}
	if err := prototext.Unmarshal([]byte(text), rulebook.Operator); err != nil {
		return nil, rulebook.parseError(err)
	}
	if rulebook.Admin != nil || rulebook.Council != nil || rulebook.Fleet != nil || rulebook.Cells == nil {
		return nil, rulebook.errorf("", "a rulebook says what is in cells, and nothing else")
	}
	if c := rulebook.Cells; c.Budget != nil || c.Coordination != nil || c.GroupsATenant != 0 {
		return nil, rulebook.errorf("cells", "a rulebook says nothing of budget, coordination and groups_a_tenant: these are each instance's own")
	}
	merged := proto.Clone(cfg.Operator).(*operatorpb.Operator)
	merged.Cells.Cell, merged.Cells.Tenancy, merged.Cells.Tenant = rulebook.Cells.Cell, rulebook.Cells.Tenancy, rulebook.Cells.Tenant
	rulebook.Operator = merged
	return rulebook, rulebook.check()
}

// checkOwnVoter checks the settings of this instance as a voter. The ids are those of the initial voters.
func (cfg *Config) checkOwnVoter(ids map[uint32]bool) error {
	council := cfg.Council
	switch {
	case council.Id == 0 && council.Disk != "":
		return cfg.errorf("council.disk", "must not be set: this instance is not a voter")
	case council.Id == 0 && council.Listen != "":
		return cfg.errorf("council.listen", "must not be set: this instance is not a voter")
	case council.Id == 0 && council.Join:
		return cfg.errorf("council.join", "must not be set: this instance is not a voter")
	case council.Id == 0:
		return nil
	case council.Disk == "":
		return cfg.errorf("council.disk", "is missing: this instance is voter %d", council.Id)
	case !council.Join && !ids[council.Id]:
		return cfg.errorf("council.id", "voter %d is not one of the initial voters", council.Id)
	case council.Join && ids[council.Id]:
		return cfg.errorf("council.join", "must not be set: voter %d is one of the initial voters", council.Id)
	case council.Join && council.Listen == "":
		return cfg.errorf("council.listen", "is missing: voter %d joins a running council", council.Id)
	case council.Listen == "":
		return nil
	}
	return cfg.checkLoopback("council.listen", council.Listen)
}

// VoterAddresses returns the addresses of the initial voters, in the order of the file.
func (cfg *Config) VoterAddresses() (addresses []string) {
	for _, v := range cfg.Council.GetVoter() {
		addresses = append(addresses, v.At)
	}
	return addresses
}

// CoordinatorAddresses returns the addresses at which a driver may request its lease: those of all
// voters, or of the single coordinator if there is no council.
func (cfg *Config) CoordinatorAddresses() []string {
	if cfg.Council != nil {
		return cfg.VoterAddresses()
	}
	return []string{cfg.Cells.GetCoordination().GetAt()}
}

// VoterAddress returns the address at which this instance listens as a voter.
func (cfg *Config) VoterAddress() string {
	if cfg.Council.Listen != "" {
		return cfg.Council.Listen
	}
	for _, v := range cfg.Council.Voter {
		if v.Id == cfg.Council.Id {
			return v.At
		}
	}
	return ""
}

// Layout returns the cells of the file.
func (cfg *Config) Layout() *cells.Layout {
	layout := cells.NewLayout(int(cfg.Cells.GroupsATenant))
	for _, cell := range cfg.Cells.Cell {
		groups := make(cells.Groups, len(cell.Group))
		for i, g := range cell.Group {
			groups[i] = rules.GroupID(g)
		}
		weight := 1.0
		if cell.Weight != nil {
			weight = *cell.Weight
		}
		layout.Add(cell.Name, groups, weight, cell.Capacity, cell.Hall)
	}
	return layout
}

var defaultTenants = map[operatorpb.Own]cells.DefaultTenant{operatorpb.Own_NOBODY: cells.DefaultNone, operatorpb.Own_USER: cells.DefaultUser,
	operatorpb.Own_DATABASE: cells.DefaultDatabase}

// TenantResolver returns a resolver that assigns RPCs to tenants by the tenancy rules of the file.
func (cfg *Config) TenantResolver() *cells.TenantResolver {
	prefixes, users, databases := map[string]cells.Tenant{}, map[string]cells.Tenant{}, map[string]cells.Tenant{}
	for _, r := range cfg.Cells.Tenancy.Rule {
		switch t := cells.Tenant(r.Tenant); {
		case r.Prefix != "":
			prefixes[r.Prefix] = t
		case r.User != "":
			users[r.User] = t
		default:
			databases[r.Database] = t
		}
	}
	return cells.NewTenantResolver(prefixes, users, databases, defaultTenants[cfg.Cells.Tenancy.Own], cells.Tenant(cfg.Cells.Tenancy.Others))
}

// Pins returns the cells of pinned tenants.
func (cfg *Config) Pins() map[cells.Tenant]string {
	pins := map[cells.Tenant]string{}
	for _, t := range cfg.Cells.Tenant {
		if t.Cell != "" {
			pins[cells.Tenant(t.Name)] = t.Cell
		}
	}
	return pins
}

// Weights returns the weights of tenants that have one in the file.
func (cfg *Config) Weights() map[cells.Tenant]float64 {
	weights := map[cells.Tenant]float64{}
	for _, t := range cfg.Cells.Tenant {
		if t.Weight != nil {
			weights[cells.Tenant(t.Name)] = *t.Weight
		}
	}
	return weights
}

// Limits returns the resource limits that follow from the budget, or nil without a budget.
// clientConnections is the total limit of client connections at this driver.
func (cfg *Config) Limits(layout *cells.Layout, clientConnections int) *cells.Limits {
	budget := cfg.Cells.Budget
	if budget == nil {
		return nil
	}
	total := cells.Budget{cells.RPCs: int64(budget.Rpcs), cells.Attempts: int64(budget.CallOuts), cells.ResponseBytes: int64(budget.AnswerKib) << 10,
		cells.ClientConnections: int64(clientConnections)}
	return cells.NewLimits(total, budget.Lend, layout, cfg.Weights())
}

// Directory returns the placement of tenants according to the file, without any moves.
func (cfg *Config) Directory() *cells.Directory {
	layout := cfg.Layout()
	pins := map[cells.Tenant]cells.Cell{}
	for t, name := range cfg.Pins() {
		pins[t] = layout.Find(name)
	}
	return cells.NewDirectory(layout, pins)
}

// AdmissionController returns an admission controller for this driver. clientConnections is the total
// limit of client connections.
func (cfg *Config) AdmissionController(clientConnections int) *cells.AdmissionController {
	directory := cfg.Directory()
	maxHeld := int(cfg.Cells.GetCoordination().GetHeld())
	return cells.NewAdmissionController(directory, cfg.TenantResolver(), cfg.Limits(directory.Layout(), clientConnections), cfg.Cells.Coordination != nil, maxHeld)
}

// PlannerCells returns the cells as the planner takes them, in the order of the file.
func (cfg *Config) PlannerCells() (plannerCells []planner.Cell) {
	for _, cell := range cfg.Cells.Cell {
		plannerCells = append(plannerCells, planner.Cell{Name: cell.Name, Capacity: cell.Capacity, Hall: cell.Hall})
	}
	return plannerCells
}

// TenantHalls returns the hall that each tenant's cell must be in, for tenants that require one.
func (cfg *Config) TenantHalls() map[cells.Tenant]string {
	halls := map[cells.Tenant]string{}
	for _, t := range cfg.Cells.Tenant {
		if t.Hall != "" {
			halls[cells.Tenant(t.Name)] = t.Hall
		}
	}
	return halls
}

// StartupSettings returns a text of the settings that only take effect at startup, for comparison.
func (cfg *Config) StartupSettings() string {
	return fmt.Sprint(cfg.Admin, cfg.Council, cfg.Fleet, cfg.Cells == nil, cfg.Cells.GetGroupsATenant(), cfg.Cells.GetBudget(), cfg.Cells.GetCoordination())
}

// SharedSettings returns a text of the settings that should be the same on all drivers of a fleet and
// are not versioned by the council. Drivers compare its digest.
func (cfg *Config) SharedSettings() string {
	budget, coordination, fleet := cfg.Cells.GetBudget(), cfg.Cells.GetCoordination(), cfg.Fleet
	text := fmt.Sprintf("tick %d clocks %d groups %d budget %d %d %d %v moves %d %d %d fleet %d %v %d", cfg.TickMs(), cfg.Council.GetClockErrorMs(),
		cfg.Cells.GetGroupsATenant(), budget.GetRpcs(), budget.GetCallOuts(), budget.GetAnswerKib(), budget.GetLend(), coordination.GetLeaseMs(), coordination.GetHoldMs(), coordination.GetHeld(),
		fleet.GetLeaseMs(), fleet.GetMostShutOut(), fleet.GetForgetS())
	for _, v := range cfg.Council.GetVoter() {
		text += fmt.Sprintf(" %d", v.GetId())
	}
	return text
}

// Summary returns a one-line description of the file.
func (cfg *Config) Summary() string {
	councilSummary := ""
	if council := cfg.Council; council != nil {
		councilSummary = fmt.Sprintf(", a council of %d", len(council.Voter))
		if council.Id != 0 {
			councilSummary += fmt.Sprintf(" with this instance as voter %d", council.Id)
		}
	}
	if cfg.Cells == nil {
		return "no cells" + councilSummary
	}
	coordinationSummary := "no coordination"
	if coordination := cfg.Cells.Coordination; coordination != nil && cfg.Council != nil {
		coordinationSummary = "coordinated by" + councilSummary[1:]
	} else if coordination != nil {
		coordinationSummary = "coordinator at " + coordination.At
	}
	return fmt.Sprintf("%d cells, %d tenancy rules, %d tenants, %s", len(cfg.Cells.Cell), len(cfg.Cells.Tenancy.Rule),
		len(cfg.Cells.Tenant), coordinationSummary)
}
