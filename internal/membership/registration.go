package membership

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/audit/shelf"
	"sedgespread/internal/clock"
	"sedgespread/internal/council"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/planted"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// Registration is the fleet as a machine on the council's log: which drivers there are, and which versions they act on. It takes
// records in at every voter and decides at one.
type Registration struct {
	decisions[registrationRecord]
	log   logrus.FieldLogger
	clock clock.Clock
	terms Terms

	mu       sync.Mutex
	roster   *roster.Roster
	versions *versions.Ledger
	changed  bell              // rings at the next step of a version
	trails   *audit.Collection // that drivers told while this voter decided
	strange  []json.RawMessage // records of a newer build
	pacer    *versions.Pacer   // of texts
	shelf    *shelf.Shelf      // where trails are kept, nil for nowhere
	unkept   int64             // when they could not be written last, 0 where all are
	stopped  string            // why stragglers are not shut out, as told last
	looked   int64             // when what drivers act on by themselves was looked at last
	observed []versions.Spread // as it was then
	apart    map[versions.Thing]bool
	doubts   []roster.Doubt // as they were then
	silent   map[string]bool
}

// RegistrationName is what the fleet's records are marked with in a council's log.
const RegistrationName = "fleet"

// Terms are what the operator's file says of the fleet.
type Terms struct {
	Lease  time.Duration
	Forget time.Duration // a driver that was not heard for so long after its lease is gone
	Most   float64       // the part of the drivers that may be shut out at once
}

// registrationRecord is one of the two.
type registrationRecord struct {
	Roster  *roster.Record   `json:"roster,omitempty"`
	Version *versions.Record `json:"version,omitempty"`
}

// Texts are told to drivers at so many bytes a second, and those at once that are due in so long.
const (
	textRate  = 32e6
	textBurst = int64(20 * time.Millisecond)
)

// leaseMargin is the part of a lease by which it is waited for longer than it lasts: clocks differ in rate by less.
const leaseMargin = 50

// NewRegistration makes the fleet's machine; Join is its place in the council.
func NewRegistration(terms Terms, log logrus.FieldLogger) *Registration {
	return &Registration{log: log, clock: clock.New(), terms: terms, changed: newBell(), versions: versions.NewLedger(),
		apart: map[versions.Thing]bool{}, trails: audit.NewCollection(mostEntries), pacer: versions.NewPacer(textRate, textBurst),
		roster: roster.New(int64(terms.Lease), int64(terms.Lease)/leaseMargin, int64(terms.Forget))}
}

// Join says where the council is, before anything is asked of the registration.
func (m *Registration) Join(c *chamber.Chamber) {
	m.decisions.ledger = together[registrationRecord]{c, RegistrationName}
}

func (m *Registration) now() int64 { return m.clock.Now() }

// Apply takes in records that the council has agreed on.
func (m *Registration) Apply(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := applied(data, m.apply); err != nil {
		m.log.WithError(err).Info("a record does not count")
	}
	if !understood(data) && len(m.strange) < mostStrange {
		m.strange = append(m.strange, slices.Clone(data))
	}
}

// mostStrange is how many records of a newer build are kept whole.
const mostStrange = 4096

// understood tells whether this build knows every field of some records. Those of which it does not are kept as they came,
// for the newer build that will read the next snapshot.
func understood(data []byte) bool {
	var records []registrationRecord
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(&records) == nil
}

// apply lets a record count. The lock is held.
func (m *Registration) apply(r registrationRecord) error {
	if k := r.Roster; k != nil {
		if err := m.roster.Apply(m.now(), *k); err != nil {
			return err
		}
		m.log.WithFields(logrus.Fields{"of": k.Name, "start": k.Start, "level": k.Level, "why": k.Why}).Info("driver " + string(k.Kind))
	}
	if r.Version == nil {
		return nil
	}
	if err := m.versions.Apply(*r.Version); err != nil {
		return err
	}
	v := &r.Version.Version
	m.log.WithFields(logrus.Fields{"thing": v.Thing, "version": v.Number, "stage": v.Stage, "epoch": v.Epoch, "why": v.Why}).Info("version")
	m.changed.ring()
	return nil
}

// past is all that was recorded.
type past struct {
	Roster   roster.Past       `json:"roster"`
	Versions versions.Past     `json:"versions"`
	Strange  []json.RawMessage `json:"strange,omitempty"` // records of which the build that wrote this did not know all
}

// Snapshot is all that was recorded.
func (m *Registration) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(past{m.roster.Past(), m.versions.Past(), m.strange})
}

// Restore takes over a snapshot.
func (m *Registration) Restore(data []byte) error {
	var p past
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Restore(m.now(), p.Roster)
	m.versions.Restore(p.Versions)
	m.strange = p.Strange
	m.changed.ring()
	return nil
}

// Lead begins to decide.
func (m *Registration) Lead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.TakeOver(m.now())
	m.versions.TakeOver()
}

// Run takes versions on until the context ends.
func (m *Registration) Run(ctx context.Context) { again(ctx, m.step) }

// lookEvery is how often what drivers act on by themselves is looked at.
const lookEvery = int64(100 * time.Millisecond)

// look sees what drivers act on that the council does not decide, and logs when some stay behind for longer than a lease, or
// act on different things of one name, and when that is over. The lock is held.
func (m *Registration) look() {
	now := m.now()
	if now-m.looked < lookEvery {
		return
	}
	m.looked = now
	m.listen(now)
	m.observed = m.versions.Observed(now, m.present())
	for _, s := range m.observed {
		late := 0
		for _, d := range s.Behind {
			if d.For > int64(m.terms.Lease) {
				late++
			}
		}
		if apart := late > 0 || s.Forked; apart != m.apart[s.Thing] {
			m.apart[s.Thing] = apart
			m.log.WithFields(logrus.Fields{"thing": s.Thing, "newest": s.Groups[0].Number, "kinds": len(s.Groups), "late": late, "forked": s.Forked}).
				Warn(map[bool]string{true: "drivers act on different versions", false: "drivers act on one version again"}[apart])
		}
	}
}

// listen takes stock of whom fellows do not hear, and logs when that has become most of them, and when it is over. The lock is
// held.
func (m *Registration) listen(now int64) {
	m.doubts = m.roster.Doubts(now)
	silent := map[string]bool{}
	for _, d := range m.doubts {
		if !d.Silent {
			continue
		}
		if silent[d.Name] = true; !m.silent[d.Name] {
			m.log.WithFields(logrus.Fields{"of": d.Name, "start": d.Start, "by": len(d.By), "listeners": d.Of}).Warn("fellows do not hear a driver")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.silent)) {
		if !silent[name] {
			m.log.WithField("of", name).Info("a driver is heard by its fellows again, or is gone")
		}
	}
	m.silent = silent
}

// step takes all on as far as it can go now.
func (m *Registration) step(ctx context.Context) {
	if m.decisions.ledger.acts() {
		m.mu.Lock()
		m.look()
		m.mu.Unlock()
	}
	for m.decisions.ledger.acts() {
		recorded, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
			present := m.present()
			if records := m.versions.Step(m.now(), present); len(records) > 0 {
				return ofVersions(records), nil
			}
			m.pacer.Sweep(m.now())
			return ofRoster(append(m.roster.Step(m.now()), m.stragglers(present)...)), nil
		})
		if err != nil || !recorded {
			return
		}
	}
}

func ofVersions(records []versions.Record) (all []registrationRecord) {
	for _, k := range records {
		all = append(all, registrationRecord{Version: &k})
	}
	return all
}

func ofRoster(records []roster.Record) (all []registrationRecord) {
	for _, k := range records {
		all = append(all, registrationRecord{Roster: &k})
	}
	return all
}

// present is all drivers as versions see them. The lock is held.
func (m *Registration) present() (all []versions.Present) {
	now := m.now()
	for _, d := range m.roster.Drivers() {
		may := m.roster.May(now, d.Name) && !planted.Is(planted.Straggler)
		all = append(all, versions.Present{Sign: sign(d), May: may, Votes: d.Votes, Silent: m.silent[d.Name]})
	}
	for _, s := range m.roster.Shades(now) {
		all = append(all, versions.Present{Sign: versions.Sign{Name: s.Name, Start: uint64(s.Start)}, May: !planted.Is(planted.Straggler)})
	}
	return all
}

func sign(d roster.Driver) versions.Sign { return versions.Sign{Name: d.Name, Start: uint64(d.Start)} }

// stragglers proposes to shut out who has held a version back for too long, unless that were too many: then the version is
// to blame, and nothing happens until a person sees to it. The lock is held.
func (m *Registration) stragglers(present []versions.Present) []roster.Record {
	for _, b := range m.versions.Behind(m.now(), present) {
		if !b.Over {
			continue
		}
		var names []string
		for _, s := range b.Who {
			if d, _ := m.roster.Find(s.Name); d.State == roster.Present {
				names = append(names, s.Name)
			}
		}
		why := "it kept version " + string(b.Thing) + " back, at " + b.Stage.String()
		records, err := m.roster.Shut(m.now(), names, why, m.terms.Most)
		if err == nil && len(records) > 0 {
			return records
		}
		if err != nil && m.stopped != err.Error() {
			m.stopped = err.Error()
			m.log.WithError(err).WithFields(logrus.Fields{"thing": b.Thing, "version": b.Number, "stage": b.Stage, "by": names}).
				Error("a version is held back by too many to shut them out: call it off, or see to them")
		}
	}
	return nil
}

// refusal is one of the roster's as it is told over HTTP.
type refusal struct{ *roster.Refusal }

// Status tells whether asking for a number would help.
func (r refusal) Status() int {
	if r.Again {
		return http.StatusConflict
	}
	return http.StatusForbidden
}

func told(err error) error {
	var r *roster.Refusal
	if errors.As(err, &r) {
		return refusal{r}
	}
	return err
}

// joining is what a start asks first: without a number for one, and with it to take it.
type joining struct {
	Claim roster.Claim `json:"claim"`
	Start roster.Start `json:"start"`
}

// Join offers a start its number, or lets it take it.
func (m *Registration) join(ctx context.Context, j joining) (roster.Start, error) {
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
	Name   string              `json:"name"`
	Token  string              `json:"token"`
	Seen   []versions.Sighting `json:"seen"`
	WaitMs int64               `json:"wait_ms"`
	Hears  *hears              `json:"hears,omitempty"` // nil where drivers do not gossip
	Trails []audit.Part        `json:"trails,omitempty"`
}

// hears is whom a driver does not hear of those that it did.
type hears struct {
	Unheard []string `json:"unheard,omitempty"`
}

// granted is what it gets.
type granted struct {
	versions.Grant
	Held uint64 `json:"held"` // entry up to which the start's trail is held here
}

// renew gives a lease, at once where there are orders and else once something has changed or the wait is over.
func (m *Registration) renew(ctx context.Context, a asking) (granted, error) {
	m.mu.Lock()
	if !m.decisions.ledger.acts() {
		m.mu.Unlock()
		return granted{}, chamber.ErrNotLeading
	}
	m.hear(a.Trails, false) // also of a start that gets no lease any more
	if err := m.roster.Renew(m.now(), a.Name, a.Token); err != nil {
		m.mu.Unlock()
		return granted{}, told(err)
	}
	d, _ := m.roster.Find(a.Name)
	if a.Hears != nil {
		m.roster.Hears(a.Name, a.Hears.Unheard)
	}
	m.versions.Say(sign(d), a.Seen)
	orders, changed := m.versions.Orders(sign(d)), m.changed.rings
	g := granted{versions.Grant{Lease: int64(m.terms.Lease), Orders: orders}, m.trails.Held(sign(d))}
	if wait := m.paced(sign(d), orders); wait > 0 {
		g.Grant = versions.Grant{Again: wait}
	}
	m.mu.Unlock()
	if len(orders) > 0 || a.WaitMs <= 0 || g.Again > 0 {
		return g, nil
	}
	if err := await(ctx, changed, time.Duration(a.WaitMs)*time.Millisecond); err != nil {
		return granted{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Orders = m.versions.Orders(sign(d))
	if m.paced(sign(d), g.Orders) > 0 { // it asks again at once, and is told when
		g.Orders = nil
	}
	return g, nil
}

// paced is after how long a driver should ask again for texts that it needs, 0 where it may have them now. A driver that
// has a lease keeps it meanwhile. The lock is held.
func (m *Registration) paced(who versions.Sign, orders []versions.Order) (wait int64) {
	bytes := 0
	for _, o := range orders {
		bytes += len(o.Text) + len(o.Before)
	}
	if bytes == 0 {
		return 0
	}
	return m.pacer.Turn(m.now(), who, bytes)
}

// Proposal is a version that is to come.
type Proposal struct {
	Thing versions.Thing `json:"thing"`
	Text  string         `json:"text"`
	Why   string         `json:"why"`
	Plan  versions.Plan  `json:"plan"`
}

// Digest is what a text is known by.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Wish is what an operator asks of the fleet: one of these.
type Wish struct {
	Propose *Proposal      `json:"propose,omitempty"`
	CallOff versions.Thing `json:"call_off,omitempty"`
	Raise   int            `json:"raise,omitempty"`
	Readmit string         `json:"readmit,omitempty"`
	Why     string         `json:"why,omitempty"`
}

// Grant does what an operator asks for.
func (m *Registration) grant(ctx context.Context, w Wish) error {
	_, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
		now := m.now()
		switch p := w.Propose; {
		case p != nil:
			records, err := m.versions.Propose(now, p.Thing, Digest(p.Text), p.Text, p.Why, p.Plan)
			return ofVersions(records), err
		case w.CallOff != "":
			records, err := m.versions.CallOff(now, w.CallOff, w.Why)
			return ofVersions(records), err
		case w.Raise > 0:
			records, err := m.roster.Raise(now, w.Raise)
			return ofRoster(records), err
		case w.Readmit != "":
			records, err := m.roster.Readmit(now, w.Readmit, w.Why)
			return ofRoster(records), err
		}
		return nil, errors.New("nothing is asked for")
	})
	return err
}

// Seen is a driver as the fleet knows it.
type Seen struct {
	roster.Driver
	May   bool                `json:"may"`      // it may act, as far as is known
	Until int64               `json:"until"`    // when its lease has provably run out
	Seen  []versions.Sighting `json:"sighting"` // what it said last
}

// Fleet is how the fleet stands.
type Fleet struct {
	Voter    council.VoterID                       `json:"voter"`
	Now      int64                                 `json:"now"`
	Lease    int64                                 `json:"lease_ns"`
	Level    int                                   `json:"level"`
	Highest  int                                   `json:"highest"` // level that all know
	Drivers  []Seen                                `json:"drivers"`
	Versions map[versions.Thing][]versions.Version `json:"versions"`
	Behind   []versions.Behind                     `json:"behind"`
	Observed []versions.Spread                     `json:"observed"` // of things that the council does not decide
	Doubts   []roster.Doubt                        `json:"doubts"`   // drivers that fellows do not hear
}

// Fleet tells how the fleet stands.
func (m *Registration) Fleet() Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	f := Fleet{Voter: m.decisions.ledger.voter(), Now: now, Lease: int64(m.terms.Lease), Level: m.roster.Level(), Highest: m.roster.Highest(now),
		Versions: map[versions.Thing][]versions.Version{}, Behind: m.versions.Behind(now, m.present()), Observed: m.observed, Doubts: m.doubts}
	for _, d := range m.roster.Drivers() {
		f.Drivers = append(f.Drivers, Seen{Driver: d, May: m.roster.May(now, d.Name), Until: m.roster.Until(d.Name),
			Seen: m.versions.Said(sign(d))})
	}
	for _, t := range m.versions.Things() {
		f.Versions[t] = m.versions.Versions(t)
		for i := range f.Versions[t] {
			f.Versions[t][i].Text = ""
		}
	}
	return f
}

// leave takes in that a driver leaves, with what is left to tell of its trail.
func (m *Registration) leave(ctx context.Context, a asking) error {
	_, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
		m.hear(a.Trails, true)
		return ofRoster(m.roster.Leave(m.now(), a.Name, a.Token)), nil
	})
	return err
}

// Handle lets the registration answer drivers and operators, or pass on what they ask to the one that decides.
func (m *Registration) Handle(mux *http.ServeMux) {
	handle := func(what string, answer http.HandlerFunc) {
		mux.Handle("POST /v1/fleet/"+what, m.decisions.ledger.leader(answer))
	}
	handle("join", jsonhttp.Answers(m.join))
	handle("renew", jsonhttp.Answers(m.renew))
	handle("leave", jsonhttp.Does(m.leave))
	handle("wish", jsonhttp.Does(m.grant))
	handle("state", jsonhttp.Tells(func(context.Context) (Fleet, error) { return m.Fleet(), nil }))
	m.handleTrails(mux)
}

// Fleet asks how the fleet stands.
func (c Coordinator) Fleet(ctx context.Context) (f Fleet, err error) {
	err = c.ask(ctx, "fleet/state", struct{}{}, &f)
	return f, err
}

// Wish asks something of the fleet.
func (c Coordinator) Wish(ctx context.Context, w Wish) error { return c.ask(ctx, "fleet/wish", w, nil) }

// Closed is the moment of a fleet's state from which provably nobody acts on a version of a thing older than the newest
// that was closed, by the clock of whoever closed it; number 0 for none yet.
func (f *Fleet) Closed(t versions.Thing) (n versions.Number, at int64) {
	for _, v := range slices.Backward(f.Versions[t]) {
		if v.Stage == versions.Closed {
			return v.Number, v.Closes
		}
	}
	return 0, 0
}
