package membership

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// FleetAgent is a driver's side of the fleet: it asks for a number under its name, and then for its lease again and again.
type FleetAgent struct {
	fleet   Client
	claim   roster.Claim
	start   roster.StartNumber // 0 while it has none
	lease   time.Duration
	actor   FleetDriver
	log     logrus.FieldLogger
	lost    bool
	refused string
	again   time.Duration // it is to ask again after so long
	held    uint64        // entry up to which the trail was told
	fellows PeerMonitor   // nil where drivers do not gossip
}

// PeerMonitor tells which other drivers were heard and are not any more.
type PeerMonitor interface{ Unreachable() []string }

// SetPeerMonitor lets the fleet be told whom this driver does not hear. It is called before Run.
func (r *FleetAgent) SetPeerMonitor(f PeerMonitor) { r.fellows = f }

// FleetDriver is what an agent asks of the driver that it stands for.
type FleetDriver interface {
	// Sightings is what the fleet is told, and when that was, on the driver's clock.
	Sightings() (seen []versions.Report, at int64)
	// Granted takes in what was granted to what was asked at a time, and does what that takes.
	Granted(asked int64, g versions.Grant)
	// Joined says which number the driver's start has.
	Joined(who versions.Instance, token string)
	// Trail gives the entries of the driver's trail after one, at most so many.
	Trail(seq uint64, most int) audit.Segment
	// LastTrail gives all that is left of it, when the driver acts no more.
	LastTrail(seq uint64) audit.Segment
}

// NewFleetAgent makes a driver's agent, which asks any of the voters at some addresses.
func NewFleetAgent(at []string, c roster.Claim, lease time.Duration, a FleetDriver, log logrus.FieldLogger) *FleetAgent {
	var token [16]byte
	rand.Read(token[:])
	c.Token = hex.EncodeToString(token[:])
	return &FleetAgent{fleet: NewClient(at...), claim: c, lease: lease, actor: a, log: log}
}

// Run asks until the context ends, and then tells that this driver leaves: it must not act any more by then.
func (r *FleetAgent) Run(ctx context.Context) {
	defer r.fleet.close()
	defer r.leave()
	for ctx.Err() == nil {
		busy, err := r.ask(ctx)
		r.note(ctx, err)
		pause := time.Duration(0)
		switch {
		case r.refused != "":
			pause = r.lease / waitShare
		case err != nil:
			pause = lostEvery
		case r.again > 0:
			pause = r.again
		case busy:
			pause = movingEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// note logs when no lease is to be had any more, why, and when there is one again.
func (r *FleetAgent) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var refusal *jsonhttp.StatusError
	refused := ""
	if errors.As(err, &refusal) && refusal.Status == http.StatusForbidden {
		refused = refusal.Message
	}
	lost := err != nil
	switch {
	case refused != "" && refused != r.refused:
		r.log.WithField("why", refused).Error("the fleet gives this driver no lease")
	case lost && !r.lost && refused == "":
		r.log.WithError(err).Warn("no lease from the fleet")
	case !lost && r.lost:
		r.log.WithField("start", r.start).Info("leases from the fleet again")
	}
	r.lost, r.refused = lost, refused
}

// ask asks for a number, or for a lease, and tells whether there is something to report soon.
func (r *FleetAgent) ask(ctx context.Context) (busy bool, err error) {
	wait := r.lease / waitShare
	if r.lost || r.start == 0 {
		wait = 0
	}
	by, stop := context.WithTimeout(ctx, wait+slackOf(r.lease))
	defer stop()
	if r.start == 0 {
		err = r.join(by)
	} else {
		busy, err = r.renew(by, wait)
	}
	var refusal *jsonhttp.StatusError
	if errors.As(err, &refusal) && refusal.Status == http.StatusConflict {
		r.start = 0
	}
	if jsonhttp.ShouldTryAnother(err) {
		r.fleet.next()
	}
	return busy, err
}

// join takes a number, in two steps.
func (r *FleetAgent) join(by context.Context) error {
	var offered, taken roster.StartNumber
	if err := r.fleet.ask(by, "fleet/join", joining{Claim: r.claim}, &offered); err != nil {
		return err
	}
	if err := r.fleet.ask(by, "fleet/join", joining{Claim: r.claim, Start: offered}, &taken); err != nil {
		return err
	}
	r.start = taken
	r.actor.Joined(versions.Instance{Name: r.claim.Name, Start: uint64(taken)}, r.claim.Token)
	return nil
}

func (r *FleetAgent) renew(by context.Context, wait time.Duration) (busy bool, err error) {
	seen, at := r.actor.Sightings()
	var g granted
	asked := asking{Name: r.claim.Name, Token: r.claim.Token, Sightings: seen, WaitMs: wait.Milliseconds()}
	if r.fellows != nil {
		asked.Gossip = &hears{r.fellows.Unreachable()}
	}
	part := r.actor.Trail(r.held, mostTold)
	if len(part.Entries) > 0 {
		asked.Trails = []audit.Segment{part}
	}
	if len(part.Entries) == mostTold {
		asked.WaitMs = 0 // there may be more
	}
	err = r.fleet.ask(by, "fleet/renew", asked, &g)
	if err != nil {
		return false, err
	}
	r.held = g.StoredTrailSeq // a successor may hold less, and is told again
	r.again = time.Duration(g.RetryAfter)
	r.actor.Granted(at, g.Grant)
	return len(g.Assignments) > 0 || under(seen), nil
}

// under tells whether something is in flight under another version than what is acted on, whose end is waited for.
func under(seen []versions.Report) bool {
	for _, s := range seen {
		for _, n := range s.InFlight {
			if n != s.Active {
				return true
			}
		}
	}
	return false
}

// leaveWithin is how long a driver that leaves tries to say so.
const leaveWithin = 500 * time.Millisecond

// leave tells the fleet that this driver acts no more, with what is left to tell of its trail. Where that can't be told its
// lease runs out.
func (r *FleetAgent) leave() {
	if r.start == 0 {
		return
	}
	by, stop := context.WithTimeout(context.Background(), leaveWithin)
	defer stop()
	asked := asking{Name: r.claim.Name, Token: r.claim.Token, Trails: []audit.Segment{r.actor.LastTrail(r.held)}}
	if err := r.fleet.ask(by, "fleet/leave", asked, nil); err != nil {
		r.log.WithError(err).Warn("the fleet could not be told that this driver leaves")
	}
}
