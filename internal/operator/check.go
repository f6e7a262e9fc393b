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

// check tells the first thing that is wrong with a file that could be read.
func (o *Config) check() error {
	if o.Admin != nil {
		if err := o.loopback("admin.listen", o.Admin.Listen); err != nil {
			return err
		}
	}
	if err := o.checkCouncil(); err != nil {
		return err
	}
	if err := o.checkFleet(); err != nil {
		return err
	}
	if o.Cells == nil {
		return nil
	}
	for _, check := range []func() error{o.checkCells, o.checkTenancy, o.checkTenants, o.checkBudget, o.checkCoordination} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// loopback checks an address that only this machine can reach.
func (o *Config) loopback(field, address string) error {
	if address == "" {
		return o.fault(field, "is missing")
	}
	at, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return o.fault(field, "%q is not an address and a port", address)
	case !at.Addr().IsLoopback():
		return o.fault(field, "%q is not a loopback address", address)
	}
	return nil
}

// positive checks a number that may not be 0 or below where it is given.
func (o *Config) positive(field string, given *float64, least float64) error {
	if given != nil && (!(*given >= least) || math.IsInf(*given, 0)) {
		return o.fault(field, "%v is out of range", *given)
	}
	return nil
}

const leastWeight = 1e-6

func (o *Config) checkCells() error {
	names, groups := map[string]bool{}, map[int64]string{}
	if len(o.Cells.Cell) == 0 {
		return o.fault("cells.cell", "there must be one at least")
	}
	hashed := false
	for i, c := range o.Cells.Cell {
		at := fmt.Sprintf("cells.cell[%d].", i)
		switch {
		case c.Name == "":
			return o.fault(at+"name", "is missing")
		case names[c.Name]:
			return o.fault(at+"name", "%q stands twice", c.Name)
		case len(c.Group) == 0:
			return o.fault(at+"group", "cell %q has none", c.Name)
		case c.Capacity < 0 || math.IsNaN(c.Capacity) || math.IsInf(c.Capacity, 0):
			return o.fault(at+"capacity", "%v is out of range", c.Capacity)
		}
		names[c.Name] = true
		for j, g := range c.Group {
			field := fmt.Sprintf("%sgroup[%d]", at, j)
			if other, taken := groups[g]; taken {
				return o.fault(field, "group %d stands in cell %q already", g, other)
			}
			if g < 0 {
				return o.fault(field, "%d is out of range", g)
			}
			groups[g] = c.Name
		}
		if c.Weight == nil || *c.Weight != 0 {
			hashed = true
			if err := o.positive(at+"weight", c.Weight, leastWeight); err != nil {
				return err
			}
		}
	}
	if !hashed {
		return o.fault("cells.cell", "all weights are 0: no cell takes the tenants that are not pinned")
	}
	if o.Cells.GroupsATenant > cells.MaxGroupsPerTenant {
		return o.fault("cells.groups_a_tenant", "%d is more than %d", o.Cells.GroupsATenant, cells.MaxGroupsPerTenant)
	}
	return nil
}

func (o *Config) checkTenancy() error {
	y := o.Cells.Tenancy
	if y.GetOthers() == "" {
		return o.fault("cells.tenancy.others", "is missing")
	}
	if _, known := operatorpb.Own_name[int32(y.Own)]; !known {
		return o.fault("cells.tenancy.own", "%d is none of the values", y.Own)
	}
	seen := map[string]bool{}
	for i, r := range y.Rule {
		at := fmt.Sprintf("cells.tenancy.rule[%d]", i)
		key, given := "", 0
		for _, k := range [][2]string{{"prefix", r.Prefix}, {"user", r.User}, {"database", r.Database}} {
			if k[1] != "" {
				key, given = k[0]+" "+k[1], given+1
			}
		}
		switch {
		case given != 1:
			return o.fault(at, "%d of prefix, user and database are given, and it must be one", given)
		case r.Tenant == "":
			return o.fault(at+".tenant", "is missing")
		case seen[key]:
			return o.fault(at, "%s stands twice", key)
		}
		seen[key] = true
	}
	return nil
}

func (o *Config) checkTenants() error {
	halls, seen := map[string]string{}, map[string]bool{} // of the cells, by name
	for _, c := range o.Cells.Cell {
		halls[c.Name] = c.Hall
	}
	for i, t := range o.Cells.Tenant {
		at := fmt.Sprintf("cells.tenant[%d].", i)
		switch {
		case t.Name == "":
			return o.fault(at+"name", "is missing")
		case seen[t.Name]:
			return o.fault(at+"name", "%q stands twice", t.Name)
		case t.Cell != "" && !known(halls, t.Cell):
			return o.fault(at+"cell", "there is no cell %q", t.Cell)
		case t.Hall != "" && !slices.Contains(slices.Collect(maps.Values(halls)), t.Hall):
			return o.fault(at+"hall", "no cell stands in hall %q", t.Hall)
		case t.Hall != "" && t.Cell != "" && halls[t.Cell] != t.Hall:
			return o.fault(at+"hall", "cell %q stands in hall %q", t.Cell, halls[t.Cell])
		}
		seen[t.Name] = true
		if err := o.positive(at+"weight", t.Weight, leastWeight); err != nil {
			return err
		}
	}
	return nil
}

func known(names map[string]string, name string) bool {
	_, is := names[name]
	return is
}

func (o *Config) checkBudget() error {
	b, count := o.Cells.Budget, uint32(len(o.Cells.Cell))
	switch {
	case b == nil:
	case b.Rpcs < count:
		return o.fault("cells.budget.rpcs", "%d is less than one for each of %d cells", b.Rpcs, count)
	case b.CallOuts < count:
		return o.fault("cells.budget.call_outs", "%d is less than one for each of %d cells", b.CallOuts, count)
	case !(b.Lend >= 0 && b.Lend <= 1):
		return o.fault("cells.budget.lend", "%v is not from 0 to 1", b.Lend)
	}
	return nil
}

func (o *Config) checkCoordination() error {
	c := o.Cells.Coordination
	if c == nil {
		return nil
	}
	switch {
	case o.Council == nil:
		if err := o.loopback("cells.coordination.at", c.At); err != nil {
			return err
		}
	case c.At != "":
		return o.fault("cells.coordination.at", "is given, and the council coordinates")
	case c.Here:
		return o.fault("cells.coordination.here", "is given, and the council coordinates")
	case c.LeaseMs < leaseTicks*o.TickMs():
		return o.fault("cells.coordination.lease_ms", "%d is less than %d ticks of the council: leases would end whenever its leader does",
			c.LeaseMs, leaseTicks)
	}
	for _, n := range []struct {
		field       string
		value       uint32
		least, most uint32
	}{{"lease_ms", c.LeaseMs, 200, 300_000}, {"hold_ms", c.HoldMs, 100, 60_000}, {"held", c.Held, 1, 100_000}} {
		if n.value < n.least || n.value > n.most {
			return o.fault("cells.coordination."+n.field, "%d is not from %d to %d", n.value, n.least, n.most)
		}
	}
	switch {
	case c.Here && c.Journal == "":
		return o.fault("cells.coordination.journal", "is missing, and this instance is the coordinator")
	case !c.Here && c.Journal != "":
		return o.fault("cells.coordination.journal", "is given, and this instance is not the coordinator")
	}
	if c.FillHook == "" {
		return nil
	}
	hook, err := url.Parse(c.FillHook)
	if err != nil || hook.Scheme != "http" || hook.Host == "" {
		return o.fault("cells.coordination.fill_hook", "%q is not an http address", c.FillHook)
	}
	if ip := net.ParseIP(hook.Hostname()); ip == nil || !ip.IsLoopback() {
		return o.fault("cells.coordination.fill_hook", "%q is not on a loopback address", c.FillHook)
	}
	return nil
}

const (
	usualTick  = 50 // ms
	usualProbe = 1000
	leaseTicks = 20 // in which a leader that fell silent is followed by another at the latest, if one vote suffices
	mostSkew   = 600_000
)

// TickMs is the time between two ticks of the council.
func (o *Config) TickMs() uint32 {
	if t := o.Council.GetTickMs(); t != 0 {
		return t
	}
	return usualTick
}

func (o *Config) checkCouncil() error {
	c := o.Council
	if c == nil {
		return nil
	}
	ids, addresses := map[uint32]bool{}, map[string]bool{}
	for i, v := range c.Voter {
		at := fmt.Sprintf("council.voter[%d]", i)
		switch {
		case v.Id == 0:
			return o.fault(at+".id", "is missing")
		case ids[v.Id]:
			return o.fault(at+".id", "%d stands twice", v.Id)
		case addresses[v.At]:
			return o.fault(at+".at", "%q stands twice", v.At)
		}
		if err := o.loopback(at+".at", v.At); err != nil {
			return err
		}
		ids[v.Id], addresses[v.At] = true, true
	}
	switch n := len(c.Voter); {
	case n == 0:
		return o.fault("council.voter", "there must be one at least")
	case c.Id != 0 && !c.Join && n != 1 && n != 3 && n != 5 && n != 7:
		return o.fault("council.voter", "%d voters: a council begins with 1, 3, 5 or 7", n)
	case c.TickMs != 0 && (c.TickMs < 5 || c.TickMs > 1000):
		return o.fault("council.tick_ms", "%d is not from 5 to 1000", c.TickMs)
	case c.ClockErrorMs > mostSkew:
		return o.fault("council.clock_error_ms", "%d is more than %d", c.ClockErrorMs, mostSkew)
	}
	return o.checkSeat(ids)
}

func (o *Config) checkGossip() error {
	g := o.Fleet.Gossip
	if g == nil {
		return nil
	}
	if err := o.loopback("fleet.gossip.listen", g.Listen); err != nil {
		return err
	}
	if len(g.Fellow) == 0 {
		return o.fault("fleet.gossip.fellow", "there must be one at least")
	}
	for i, at := range g.Fellow {
		if err := o.loopback(fmt.Sprintf("fleet.gossip.fellow[%d]", i), at); err != nil {
			return err
		}
	}
	if g.ProbeMs != 0 && (g.ProbeMs < 20 || g.ProbeMs > 60_000) {
		return o.fault("fleet.gossip.probe_ms", "%d is not from 20 to 60000", g.ProbeMs)
	}
	return nil
}

// ProbeMs is the time between two probes of a fellow.
func (o *Config) ProbeMs() uint32 {
	if p := o.Fleet.GetGossip().GetProbeMs(); p != 0 {
		return p
	}
	return usualProbe
}

func (o *Config) checkFleet() error {
	f := o.Fleet
	switch {
	case f == nil:
		return nil
	case o.Council == nil:
		return o.fault("fleet", "needs a council")
	case o.Cells.GetCoordination() == nil:
		return o.fault("fleet", "needs cells with coordination")
	case f.LeaseMs < 200 || f.LeaseMs > 300_000 || f.LeaseMs < leaseTicks*o.TickMs():
		return o.fault("fleet.lease_ms", "%d is not from 200 to 300000, or less than %d ticks of the council", f.LeaseMs, leaseTicks)
	case !(f.MostShutOut >= 0 && f.MostShutOut <= 1):
		return o.fault("fleet.most_shut_out", "%v is not from 0 to 1", f.MostShutOut)
	case f.ForgetS > 86_400:
		return o.fault("fleet.forget_s", "%d is more than 86400", f.ForgetS)
	}
	if err := o.checkGossip(); err != nil {
		return err
	}
	return nil
}

const usualForget = 60 // s

// ForgetSeconds is how long after its last lease a driver is gone.
func (o *Config) ForgetSeconds() uint32 {
	if s := o.Fleet.GetForgetS(); s != 0 {
		return s
	}
	return usualForget
}

// WithRulebook is a file in which what all drivers share says what another text does: the cells, whom RPCs belong to and what is
// known of tenants. All else stays as it is here. An empty text changes nothing.
func (o *Config) WithRulebook(name, text string) (*Config, error) {
	if text == "" {
		return o, nil
	}
	shared := &Config{Operator: &operatorpb.Operator{}, path: name, lines: findLines([]byte(text))}
	if err := prototext.Unmarshal([]byte(text), shared.Operator); err != nil {
		return nil, shared.unreadable(err)
	}
	if shared.Admin != nil || shared.Council != nil || shared.Fleet != nil || shared.Cells == nil {
		return nil, shared.fault("", "a rulebook says what is in cells, and nothing else")
	}
	if c := shared.Cells; c.Budget != nil || c.Coordination != nil || c.GroupsATenant != 0 {
		return nil, shared.fault("cells", "a rulebook says nothing of budget, coordination and groups_a_tenant: these are each instance's own")
	}
	next := proto.Clone(o.Operator).(*operatorpb.Operator)
	next.Cells.Cell, next.Cells.Tenancy, next.Cells.Tenant = shared.Cells.Cell, shared.Cells.Tenancy, shared.Cells.Tenant
	shared.Operator = next
	return shared, shared.check()
}

// checkSeat checks what is said of this instance's own seat.
func (o *Config) checkSeat(ids map[uint32]bool) error {
	c := o.Council
	switch {
	case c.Id == 0 && c.Disk != "":
		return o.fault("council.disk", "is given, and this instance is no voter")
	case c.Id == 0 && c.Listen != "":
		return o.fault("council.listen", "is given, and this instance is no voter")
	case c.Id == 0 && c.Join:
		return o.fault("council.join", "is given, and this instance is no voter")
	case c.Id == 0:
		return nil
	case c.Disk == "":
		return o.fault("council.disk", "is missing, and this instance is voter %d", c.Id)
	case !c.Join && !ids[c.Id]:
		return o.fault("council.id", "voter %d is none of those that the council begins with", c.Id)
	case c.Join && ids[c.Id]:
		return o.fault("council.join", "is given, and voter %d is one of those that the council begins with", c.Id)
	case c.Join && c.Listen == "":
		return o.fault("council.listen", "is missing, and voter %d joins", c.Id)
	case c.Listen == "":
		return nil
	}
	return o.loopback("council.listen", c.Listen)
}

// VoterAddresses are the addresses of the file's voters, in its order.
func (o *Config) VoterAddresses() (addresses []string) {
	for _, v := range o.Council.GetVoter() {
		addresses = append(addresses, v.At)
	}
	return addresses
}

// CoordinatorAddresses are where a driver may ask for its lease: the coordinator, or all voters.
func (o *Config) CoordinatorAddresses() []string {
	if o.Council != nil {
		return o.VoterAddresses()
	}
	return []string{o.Cells.GetCoordination().GetAt()}
}

// VoterAddress is where this instance answers as a voter.
func (o *Config) VoterAddress() string {
	if o.Council.Listen != "" {
		return o.Council.Listen
	}
	for _, v := range o.Council.Voter {
		if v.Id == o.Council.Id {
			return v.At
		}
	}
	return ""
}

// Layout is the file's cells.
func (o *Config) Layout() *cells.Layout {
	l := cells.NewLayout(int(o.Cells.GroupsATenant))
	for _, c := range o.Cells.Cell {
		groups := make(cells.Groups, len(c.Group))
		for i, g := range c.Group {
			groups[i] = rules.GroupID(g)
		}
		weight := 1.0
		if c.Weight != nil {
			weight = *c.Weight
		}
		l.Add(c.Name, groups, weight, c.Capacity, c.Hall)
	}
	return l
}

var owns = map[operatorpb.Own]cells.DefaultTenant{operatorpb.Own_NOBODY: cells.DefaultNone, operatorpb.Own_USER: cells.DefaultUser,
	operatorpb.Own_DATABASE: cells.DefaultDatabase}

// TenantResolver is the file's rules on whom an RPC belongs to.
func (o *Config) TenantResolver() *cells.TenantResolver {
	prefixes, users, databases := map[string]cells.Tenant{}, map[string]cells.Tenant{}, map[string]cells.Tenant{}
	for _, r := range o.Cells.Tenancy.Rule {
		switch t := cells.Tenant(r.Tenant); {
		case r.Prefix != "":
			prefixes[r.Prefix] = t
		case r.User != "":
			users[r.User] = t
		default:
			databases[r.Database] = t
		}
	}
	return cells.NewTenantResolver(prefixes, users, databases, owns[o.Cells.Tenancy.Own], cells.Tenant(o.Cells.Tenancy.Others))
}

// Pins are the cells that tenants are pinned to.
func (o *Config) Pins() map[cells.Tenant]string {
	pins := map[cells.Tenant]string{}
	for _, t := range o.Cells.Tenant {
		if t.Cell != "" {
			pins[cells.Tenant(t.Name)] = t.Cell
		}
	}
	return pins
}

// Weights are the tenants' parts that are not 1.
func (o *Config) Weights() map[cells.Tenant]float64 {
	weights := map[cells.Tenant]float64{}
	for _, t := range o.Cells.Tenant {
		if t.Weight != nil {
			weights[cells.Tenant(t.Name)] = *t.Weight
		}
	}
	return weights
}

// Limits are the limits that the file's budget makes, nil where it has none. So many connections of clients may wait at
// this driver.
func (o *Config) Limits(l *cells.Layout, sockets int) *cells.Limits {
	b := o.Cells.Budget
	if b == nil {
		return nil
	}
	all := cells.Budget{cells.RPCs: int64(b.Rpcs), cells.Attempts: int64(b.CallOuts), cells.ResponseBytes: int64(b.AnswerKib) << 10,
		cells.ClientConnections: int64(sockets)}
	return cells.NewLimits(all, b.Lend, l, o.Weights())
}

// Directory is where the file alone says that tenants are.
func (o *Config) Directory() *cells.Directory {
	l := o.Layout()
	pins := map[cells.Tenant]cells.Cell{}
	for t, name := range o.Pins() {
		pins[t] = l.Find(name)
	}
	return cells.NewDirectory(l, pins)
}

// AdmissionController is what a driver confines tenants by, at which so many connections of clients may wait.
func (o *Config) AdmissionController(sockets int) *cells.AdmissionController {
	b := o.Directory()
	held := int(o.Cells.GetCoordination().GetHeld())
	return cells.NewAdmissionController(b, o.TenantResolver(), o.Limits(b.Layout(), sockets), o.Cells.Coordination != nil, held)
}

// PlannerCells are the cells for the planner, in the file's order.
func (o *Config) PlannerCells() (rooms []planner.Cell) {
	for _, c := range o.Cells.Cell {
		rooms = append(rooms, planner.Cell{Name: c.Name, Capacity: c.Capacity, Hall: c.Hall})
	}
	return rooms
}

// TenantHalls are the halls that tenants' cells must stand in.
func (o *Config) TenantHalls() map[cells.Tenant]string {
	halls := map[cells.Tenant]string{}
	for _, t := range o.Cells.Tenant {
		if t.Hall != "" {
			halls[cells.Tenant(t.Name)] = t.Hall
		}
	}
	return halls
}

// StartupSettings is what of a file only a start can change.
func (o *Config) StartupSettings() string {
	return fmt.Sprint(o.Admin, o.Council, o.Fleet, o.Cells == nil, o.Cells.GetGroupsATenant(), o.Cells.GetBudget(), o.Cells.GetCoordination())
}

// SharedSettings is what all drivers of a fleet should have alike in their files beside what has versions, told in a way of its own.
func (o *Config) SharedSettings() string {
	b, l, f := o.Cells.GetBudget(), o.Cells.GetCoordination(), o.Fleet
	text := fmt.Sprintf("tick %d clocks %d groups %d budget %d %d %d %v moves %d %d %d fleet %d %v %d", o.TickMs(), o.Council.GetClockErrorMs(),
		o.Cells.GetGroupsATenant(), b.GetRpcs(), b.GetCallOuts(), b.GetAnswerKib(), b.GetLend(), l.GetLeaseMs(), l.GetHoldMs(), l.GetHeld(),
		f.GetLeaseMs(), f.GetMostShutOut(), f.GetForgetS())
	for _, v := range o.Council.GetVoter() {
		text += fmt.Sprintf(" %d", v.GetId())
	}
	return text
}

// Summary says in a few words what a file asks for.
func (o *Config) Summary() string {
	council := ""
	if c := o.Council; c != nil {
		council = fmt.Sprintf(", a council of %d", len(c.Voter))
		if c.Id != 0 {
			council += fmt.Sprintf(" of which this is voter %d", c.Id)
		}
	}
	if o.Cells == nil {
		return "no cells" + council
	}
	coordination := "no coordination"
	if k := o.Cells.Coordination; k != nil && o.Council != nil {
		coordination = "coordinated by" + council[1:]
	} else if k != nil {
		coordination = "coordinator at " + k.At
	}
	return fmt.Sprintf("%d cells, %d rules of tenancy, %d tenants, %s", len(o.Cells.Cell), len(o.Cells.Tenancy.Rule),
		len(o.Cells.Tenant), coordination)
}
