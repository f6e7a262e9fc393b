// Package versions rolls out versions of resources to drivers and determines when no driver can act
// on an older version any more. Controller is the council's side: its state changes only through
// Records, which the council replicates before they are applied. DriverState is the driver's side.
// The package does no I/O, reads no clock and starts no goroutines.
package versions

import (
	"fmt"
	"slices"
)

// Resource names something versioned that drivers act on: a part of the operator's file, a
// rulebook, limits, a build.
type Resource string

// Number is the number of a version within its resource, in the order of the council's records. 0
// means no version.
type Number uint64

// InitialVersion is what a driver starts with and acts on until it is assigned a version.
const InitialVersion Number = 1

// Epoch is the number of a record, counted over all resources. A driver ignores assignments older
// than the epoch that it knows.
type Epoch uint64

// Stage is the stage of a version's rollout.
//
//	from               condition                                           to           drivers then act on
//	(none)             proposed, no other rollout of the resource          Announced    the base version
//	Announced          all store it; the plan has canaries                 Canary       canaries the new, others the base
//	Announced, Canary  all store it (and the canary trial has passed)      Activating   the new version
//	Announced          all store it; the plan is exclusive                 Stopping     nothing
//	Stopping           no driver acts, nothing is in flight                Activating   the new version
//	Activating         all act on it                                       Draining     the new version
//	Draining           nothing is in flight under another version          Completed    the new version
//	Canary             a canary's lease expired, or it restarted, is       RollingBack  the base version
//	                   unreachable to most peers, reports a failure or
//	                   does worse than the others (CompareCanaries)
//	Announced, Canary, Stopping; Activating unless exclusive
//	                   an operator rolls it back                           RollingBack  the base version
//	RollingBack        all act on the base, nothing is in flight under new RolledBack   the base version
//
// "All" means that each driver that may act has reported so in the current epoch and the leases of
// all others have expired. Without a quorum no transition is recorded; drivers act as assigned
// until their leases expire.
type Stage int

const (
	StageUnknown Stage = iota
	StageAnnounced
	StageCanary
	StageStopping
	StageActivating
	StageDraining
	StageCompleted
	StageRollingBack
	StageRolledBack
)

var stageTexts = [...]string{"unknown", "told", "trying", "stopping", "opening", "closing", "closed", "withdrawing", "withdrawn"}

func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageTexts) {
		return fmt.Sprintf("stage %d", int(s))
	}
	return stageTexts[s]
}

// allowedPredecessors lists the stages that each stage may follow.
var allowedPredecessors = map[Stage][]Stage{
	StageAnnounced:   {StageUnknown},
	StageCanary:      {StageAnnounced},
	StageStopping:    {StageAnnounced},
	StageActivating:  {StageAnnounced, StageCanary, StageStopping},
	StageDraining:    {StageActivating},
	StageCompleted:   {StageDraining},
	StageRollingBack: {StageAnnounced, StageCanary, StageStopping, StageActivating},
	StageRolledBack:  {StageRollingBack},
}

// isFinal reports whether a version in this stage changes no more.
func (s Stage) isFinal() bool { return s == StageCompleted || s == StageRolledBack }

// Plan describes how a version is rolled out. Times are in nanoseconds.
type Plan struct {
	Exclusive       bool    `json:"exclusive,omitempty"` // no two versions may be active at the same time
	CanaryFraction  float64 `json:"canaries,omitempty"`  // fraction of the drivers that are canaries; 0 for none
	TrialTime       int64   `json:"trial,omitempty"`     // duration of the canary trial
	FalseAlarmRate  float64 `json:"alarm,omitempty"`     // probability of rolling back a good version; 0 for the default
	ToleratedRatio  float64 `json:"bears,omitempty"`     // how many times worse canaries may do; 0 for the default
	AnnounceTimeout int64   `json:"tell"`                // for all drivers to store the version
	AdoptTimeout    int64   `json:"adopt"`               // for all drivers to activate it, stop or return to the base
	DrainTimeout    int64   `json:"close"`               // for requests in flight under other versions to end
}

// Version is one version of a resource with the state of its rollout.
type Version struct {
	Resource    Resource   `json:"thing"`
	Number      Number     `json:"number"`
	Base        Number     `json:"base"` // the version that drivers act on before activation
	Digest      string     `json:"digest"`
	Text        string     `json:"text,omitempty"` // removed once no driver can need it
	Plan        Plan       `json:"plan"`
	Stage       Stage      `json:"stage"`
	Epoch       Epoch      `json:"epoch"` // of the last record
	Reason      string     `json:"why,omitempty"`
	UpdatedAt   int64      `json:"when"`             // Unix nanoseconds, by the proposer's clock; informational
	Evidence    *Evidence  `json:"basis,omitempty"`  // for the last record
	CompletedAt int64      `json:"closes,omitempty"` // when it was completed, as UpdatedAt
	Canaries    []Instance `json:"tried,omitempty"`
	TrialResult string     `json:"judged,omitempty"` // of the canaries
}

// Instance identifies one run of a driver by its name and start number.
type Instance struct {
	Name  string `json:"name"`
	Start uint64 `json:"start"`
}

// Evidence lists the drivers that a transition relied on.
type Evidence struct {
	Confirmed []Instance `json:"said"`   // reported that they finished the stage
	Expired   []Instance `json:"waited"` // had no valid lease
}

// Record is an entry of the council's replication log: the new state of a version.
type Record struct {
	Version Version `json:"version"`
}

// Report is what a driver reports about one resource.
type Report struct {
	Resource Resource   `json:"thing"`
	Epoch    Epoch      `json:"epoch"` // of the assignment that it follows
	Stored   Number     `json:"holds"` // latest version whose text it has
	Active   Number     `json:"acts"`  // 0 for nothing
	InFlight []Number   `json:"flight,omitempty"`
	Failure  string     `json:"ill,omitempty"` // why it can't activate the assigned version
	Stats    []RPCStats `json:"fares,omitempty"`
	Digest   string     `json:"digest,omitempty"` // of the active version, if the council does not decide it
}

// Assignment tells a driver which version of one resource to act on and which text to store.
type Assignment struct {
	Resource   Resource `json:"thing"`
	Epoch      Epoch    `json:"epoch"`
	Active     Number   `json:"act"`              // version to act on; 0 for none
	Allowed    Number   `json:"keep,omitempty"`   // version that a driver may act on until it activates Active; 0 for none
	Valid      []Number `json:"valid,omitempty"`  // versions that some driver may act on
	Stored     Number   `json:"hold"`             // version whose text to store
	Text       string   `json:"text,omitempty"`   // of Stored, unless the driver reported that it has it
	ActiveText string   `json:"before,omitempty"` // of Active, likewise
	Digest     string   `json:"digest,omitempty"` // of Stored
}

// DriverStatus is the state of a driver according to the roster.
type DriverStatus struct {
	Instance
	MayAct        bool // its lease may still be valid
	IsVoter       bool // of the council
	IsUnreachable bool // most of its peers do not hear it
}

// Controller holds the versions of all resources and decides their next transitions.
type Controller struct {
	histories   map[Resource]*history
	latestEpoch Epoch

	// Known only to the leader; a new leader collects it again.
	reports     map[string]*instanceReports
	stageStarts map[Resource]stageStart
	lags        map[lagKey]lag
}

// history is the versions of one resource, oldest first.
type history struct {
	completed Number // latest completed version
	versions  []*Version
}

// instanceReports is the last set of reports of a driver.
type instanceReports struct {
	start   uint64
	reports map[Resource]Report
}

// stageStart is when the current stage of a resource began, by the leader's clock.
type stageStart struct {
	epoch     Epoch
	startedAt int64
	trial     *trial // nil until all canaries act on the version
}

const (
	maxVersions  = 64 // kept for each resource
	maxTextBytes = 1 << 20
)

// NewController returns a controller without versions.
func NewController() *Controller {
	return &Controller{histories: map[Resource]*history{}, reports: map[string]*instanceReports{},
		stageStarts: map[Resource]stageStart{}}
}

// StartLeading is called when this process becomes the leader. It discards reports and stage times:
// drivers have to report to the new leader before it may rely on them.
func (c *Controller) StartLeading() {
	c.reports, c.stageStarts, c.lags = map[string]*instanceReports{}, map[Resource]stageStart{}, nil
}

// LatestEpoch returns the epoch of the last record.
func (c *Controller) LatestEpoch() Epoch { return c.latestEpoch }

// latest returns the latest version, or nil.
func (h *history) latest() *Version {
	if h == nil || len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1]
}

func (h *history) find(number Number) *Version {
	for _, v := range h.versions {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// Resources returns the resources that have versions, sorted by name.
func (c *Controller) Resources() []Resource {
	resources := make([]Resource, 0, len(c.histories))
	for resource := range c.histories {
		resources = append(resources, resource)
	}
	slices.Sort(resources)
	return resources
}

// Versions returns the versions kept of a resource, oldest first.
func (c *Controller) Versions(resource Resource) (all []Version) {
	if h := c.histories[resource]; h != nil {
		for _, v := range h.versions {
			all = append(all, *v)
		}
	}
	return all
}

// Propose returns the record that announces a new version of a resource.
func (c *Controller) Propose(now int64, resource Resource, digest, text, reason string, plan Plan) ([]Record, error) {
	latest, number, base := c.histories[resource].latest(), InitialVersion+1, InitialVersion
	switch {
	case resource == "" || digest == "" || text == "":
		return nil, fmt.Errorf("a version needs a resource name, a digest and a text")
	case len(text) > maxTextBytes:
		return nil, fmt.Errorf("text of %d bytes exceeds the limit of %d bytes", len(text), maxTextBytes)
	case plan.AnnounceTimeout <= 0 || plan.AdoptTimeout <= 0 || plan.DrainTimeout <= 0 || plan.TrialTime < 0:
		return nil, fmt.Errorf("a plan needs a timeout for each of its stages")
	case !(plan.FalseAlarmRate >= 0 && plan.FalseAlarmRate < 1):
		return nil, fmt.Errorf("false alarm rate %v is not in [0, 1)", plan.FalseAlarmRate)
	case plan.ToleratedRatio != 0 && !(plan.ToleratedRatio >= 1):
		return nil, fmt.Errorf("tolerated ratio %v is less than 1", plan.ToleratedRatio)
	case plan.Exclusive && plan.CanaryFraction > 0:
		return nil, fmt.Errorf("an exclusive rollout can't have canaries")
	case !(plan.CanaryFraction >= 0 && plan.CanaryFraction <= 1):
		return nil, fmt.Errorf("canary fraction %v is not in [0, 1]", plan.CanaryFraction)
	case latest != nil && !latest.Stage.isFinal():
		return nil, fmt.Errorf("version %d of %s is under way: %v since epoch %d", latest.Number, resource, latest.Stage, latest.Epoch)
	}
	if latest != nil {
		number, base = latest.Number+1, c.histories[resource].completed
	}
	return []Record{{Version{Resource: resource, Number: number, Base: base, Digest: digest, Text: text, Plan: plan,
		Stage: StageAnnounced, Epoch: c.latestEpoch + 1, Reason: reason, UpdatedAt: now}}}, nil
}

// RollBack returns the record that starts to roll back the current rollout of a resource.
func (c *Controller) RollBack(now int64, resource Resource, reason string) ([]Record, error) {
	v := c.histories[resource].latest()
	switch {
	case v == nil || v.Stage.isFinal():
		return nil, fmt.Errorf("no version of %s is under way", resource)
	case !slices.Contains(allowedPredecessors[StageRollingBack], v.Stage) || v.Stage == StageActivating && v.Plan.Exclusive:
		return nil, fmt.Errorf("version %d of %s is %v and can't be rolled back: propose a new version instead", v.Number, resource, v.Stage)
	}
	return []Record{c.nextRecord(now, v, StageRollingBack, reason, nil)}, nil
}

// nextRecord returns the record that moves a version to a stage.
func (c *Controller) nextRecord(now int64, v *Version, stage Stage, reason string, evidence *Evidence) Record {
	next := *v
	next.Stage, next.Epoch, next.UpdatedAt, next.Reason, next.Evidence = stage, c.latestEpoch+1, now, reason, evidence
	if stage == StageCompleted {
		next.CompletedAt = now
	}
	return Record{next}
}

// Apply applies a record that the council has committed. A record that does not follow from those
// before it changes nothing and is an error.
func (c *Controller) Apply(record Record) error {
	v := record.Version
	h := c.histories[v.Resource]
	current := StageUnknown
	if h == nil && v.Number != InitialVersion+1 {
		return fmt.Errorf("version %d of %s does not follow %d", v.Number, v.Resource, InitialVersion)
	}
	if h != nil {
		if latest := h.latest(); latest != nil && latest.Number == v.Number {
			current = latest.Stage
		} else if latest != nil && (latest.Number+1 != v.Number || !latest.Stage.isFinal()) {
			return fmt.Errorf("version %d of %s does not follow %d, %v", v.Number, v.Resource, latest.Number, latest.Stage)
		}
	}
	if !slices.Contains(allowedPredecessors[v.Stage], current) || v.Epoch <= c.latestEpoch {
		return fmt.Errorf("version %d of %s, epoch %d: %v does not follow %v at epoch %d", v.Number, v.Resource, v.Epoch,
			v.Stage, current, c.latestEpoch)
	}
	c.store(v)
	return nil
}

// store adds or replaces a version, and removes the texts that no driver can need any more.
func (c *Controller) store(v Version) {
	h := c.histories[v.Resource]
	if h == nil {
		h = &history{completed: InitialVersion}
		c.histories[v.Resource] = h
	}
	if known := h.find(v.Number); known != nil {
		*known = v
	} else {
		h.versions = append(h.versions, &v)
	}
	if v.Stage == StageCompleted {
		h.completed = v.Number
	}
	c.latestEpoch = max(c.latestEpoch, v.Epoch)
	if len(h.versions) > maxVersions {
		h.versions = slices.Delete(h.versions, 0, len(h.versions)-maxVersions)
	}
	for _, old := range h.versions {
		if old.Number != h.completed && old.Number != v.Number {
			old.Text = ""
		}
	}
}

// Snapshot is the state that all applied records led to.
type Snapshot struct {
	Versions    []Version `json:"versions"`
	LatestEpoch Epoch     `json:"newest"`
}

// Snapshot returns the state for Restore.
func (c *Controller) Snapshot() (snapshot Snapshot) {
	for _, resource := range c.Resources() {
		snapshot.Versions = append(snapshot.Versions, c.Versions(resource)...)
	}
	snapshot.LatestEpoch = c.latestEpoch
	return snapshot
}

// Restore replaces the state by that of a snapshot.
func (c *Controller) Restore(snapshot Snapshot) {
	c.histories, c.latestEpoch = map[Resource]*history{}, snapshot.LatestEpoch
	for _, v := range snapshot.Versions {
		c.store(v)
	}
}
