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
	client         Client
	claim          roster.Claim
	start          roster.StartNumber // 0 while it has none
	lease          time.Duration
	driver         FleetDriver
	log            logrus.FieldLogger
	isDisconnected bool
	refusalReason  string
	retryAfter     time.Duration // it is to ask again after so long
	storedTrailSeq uint64        // entry up to which the trail was told
	peerMonitor    PeerMonitor   // nil where drivers do not gossip
}

// PeerMonitor tells which other drivers were heard and are not any more.
type PeerMonitor interface{ Unheard() []string }

// SetPeerMonitor lets the fleet be told whom this driver does not hear. It is called before Run.
func (a *FleetAgent) SetPeerMonitor(monitor PeerMonitor) { a.peerMonitor = monitor }

// FleetDriver is what an agent asks of the driver that it stands for.
type FleetDriver interface {
	// Sightings is what the fleet is told, and when that was, on the driver's clock.
	Sightings() (seen []versions.Sighting, at int64)
	// Granted takes in what was granted to what was asked at a time, and does what that takes.
	Granted(asked int64, g versions.Grant)
	// Joined says which number the driver's start has.
	Joined(who versions.Sign, token string)
	// Trail gives the entries of the driver's trail after one, at most so many.
	Trail(seq uint64, most int) audit.Part
	// LastTrail gives all that is left of it, when the driver acts no more.
	LastTrail(seq uint64) audit.Part
}

// NewFleetAgent makes a driver's agent, which asks any of the voters at some addresses.
func NewFleetAgent(addresses []string, claim roster.Claim, lease time.Duration, driver FleetDriver, log logrus.FieldLogger) *FleetAgent {
	var token [16]byte
	rand.Read(token[:])
	claim.Token = hex.EncodeToString(token[:])
	return &FleetAgent{client: NewClient(addresses...), claim: claim, lease: lease, driver: driver, log: log}
}

// Run asks until the context ends, and then tells that this driver leaves: it must not act any more by then.
func (a *FleetAgent) Run(ctx context.Context) {
	defer a.client.close()
	defer a.leave()
	for ctx.Err() == nil {
		isBusy, err := a.registerOrRenew(ctx)
		a.logConnectivity(ctx, err)
		pause := time.Duration(0)
		switch {
		case a.refusalReason != "":
			pause = a.lease / leaseWaitDivisor
		case err != nil:
			pause = reconnectInterval
		case a.retryAfter > 0:
			pause = a.retryAfter
		case isBusy:
			pause = busyReportInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// logConnectivity logs when no lease is to be had any more, why, and when there is one again.
func (a *FleetAgent) logConnectivity(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var refusal *jsonhttp.StatusError
	reason := ""
	if errors.As(err, &refusal) && refusal.Status == http.StatusForbidden {
		reason = refusal.Message
	}
	isDisconnected := err != nil
	switch {
	case reason != "" && reason != a.refusalReason:
		a.log.WithField("why", reason).Error("the fleet gives this driver no lease")
	case isDisconnected && !a.isDisconnected && reason == "":
		a.log.WithError(err).Warn("no lease from the fleet")
	case !isDisconnected && a.isDisconnected:
		a.log.WithField("start", a.start).Info("leases from the fleet again")
	}
	a.isDisconnected, a.refusalReason = isDisconnected, reason
}

// registerOrRenew asks for a number, or for a lease, and tells whether there is something to report soon.
func (a *FleetAgent) registerOrRenew(ctx context.Context) (isBusy bool, err error) {
	wait := a.lease / leaseWaitDivisor
	if a.isDisconnected || a.start == 0 {
		wait = 0
	}
	requestCtx, cancel := context.WithTimeout(ctx, wait+fallbackResponseMargin(a.lease))
	defer cancel()
	if a.start == 0 {
		err = a.join(requestCtx)
	} else {
		isBusy, err = a.renew(requestCtx, wait)
	}
	var refusal *jsonhttp.StatusError
	if errors.As(err, &refusal) && refusal.Status == http.StatusConflict {
		a.start = 0
	}
	if jsonhttp.ShouldTryAnother(err) {
		a.client.rotate()
	}
	return isBusy, err
}

// join takes a number, in two steps.
func (a *FleetAgent) join(ctx context.Context) error {
	var offered, confirmed roster.StartNumber
	if err := a.client.post(ctx, "fleet/join", joinRequest{Claim: a.claim}, &offered); err != nil {
		return err
	}
	if err := a.client.post(ctx, "fleet/join", joinRequest{Claim: a.claim, Start: offered}, &confirmed); err != nil {
		return err
	}
	a.start = confirmed
	a.driver.Joined(versions.Sign{Name: a.claim.Name, Start: uint64(confirmed)}, a.claim.Token)
	return nil
}

func (a *FleetAgent) renew(ctx context.Context, wait time.Duration) (isBusy bool, err error) {
	sightings, observedAt := a.driver.Sightings()
	var response leaseResponse
	request := leaseRequest{Name: a.claim.Name, Token: a.claim.Token, Sightings: sightings, WaitMs: wait.Milliseconds()}
	if a.peerMonitor != nil {
		request.Gossip = &gossipReport{a.peerMonitor.Unheard()}
	}
	part := a.driver.Trail(a.storedTrailSeq, maxEntriesPerRequest)
	if len(part.Entries) > 0 {
		request.Trails = []audit.Part{part}
	}
	if len(part.Entries) == maxEntriesPerRequest {
		request.WaitMs = 0 // there may be more
	}
	err = a.client.post(ctx, "fleet/renew", request, &response)
	if err != nil {
		return false, err
	}
	a.storedTrailSeq = response.StoredTrailSeq // a successor may hold less, and is told again
	a.retryAfter = time.Duration(response.Again)
	a.driver.Granted(observedAt, response.Grant)
	return len(response.Orders) > 0 || hasOtherVersionInFlight(sightings), nil
}

// hasOtherVersionInFlight tells whether something is in flight under another version than what is acted on, whose end is waited for.
func hasOtherVersionInFlight(sightings []versions.Sighting) bool {
	for _, s := range sightings {
		for _, n := range s.Flight {
			if n != s.Acts {
				return true
			}
		}
	}
	return false
}

// leaveTimeout is how long a driver that leaves tries to say so.
const leaveTimeout = 500 * time.Millisecond

// leave tells the fleet that this driver acts no more, with what is left to tell of its trail. Where that can't be told its
// lease runs out.
func (a *FleetAgent) leave() {
	if a.start == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	request := leaseRequest{Name: a.claim.Name, Token: a.claim.Token, Trails: []audit.Part{a.driver.LastTrail(a.storedTrailSeq)}}
	if err := a.client.post(ctx, "fleet/leave", request, nil); err != nil {
		a.log.WithError(err).Warn("the fleet could not be told that this driver leaves")
	}
}
