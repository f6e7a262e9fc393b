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

// FleetAgent registers a driver with the fleet and keeps renewing its lease.
type FleetAgent struct {
	client         Client
	claim          roster.Claim
	start          roster.StartNumber // 0 while not registered
	lease          time.Duration
	driver         FleetDriver
	log            logrus.FieldLogger
	isDisconnected bool
	refusalReason  string
	retryAfter     time.Duration // as told by the fleet; 0 for none
	storedTrailSeq uint64        // entry up to which the fleet holds the trail
	peerMonitor    PeerMonitor   // nil without gossip
}

// PeerMonitor returns the peers that have become unreachable.
type PeerMonitor interface{ Unreachable() []string }

// SetPeerMonitor makes the agent report unreachable peers to the fleet. It is called before Run.
func (a *FleetAgent) SetPeerMonitor(monitor PeerMonitor) { a.peerMonitor = monitor }

// FleetDriver is the driver on whose behalf a FleetAgent acts.
type FleetDriver interface {
	// VersionReports returns the versions in use, and the time on the driver's clock.
	VersionReports() (sightings []versions.Report, observedAt int64)
	// ApplyVersionGrant applies a grant to a request of the given time.
	ApplyVersionGrant(requestedAt int64, grant versions.Grant)
	// Joined sets the identity of this start.
	Joined(identity versions.Instance, token string)
	// TrailSince returns up to limit entries of the audit trail after seq.
	TrailSince(seq uint64, limit int) audit.Segment
	// FlushTrail returns all entries after seq, once the driver has stopped acting.
	FlushTrail(seq uint64) audit.Segment
}

// NewFleetAgent returns an agent that registers with the voters at the given addresses.
func NewFleetAgent(addresses []string, claim roster.Claim, lease time.Duration, driver FleetDriver, log logrus.FieldLogger) *FleetAgent {
	var token [16]byte
	rand.Read(token[:])
	claim.Token = hex.EncodeToString(token[:])
	return &FleetAgent{client: NewClient(addresses...), claim: claim, lease: lease, driver: driver, log: log}
}

// Run keeps the lease renewed until the context ends, and then reports that the driver leaves. The
// driver must have stopped acting by then.
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

// logConnectivity logs when leases stop, why, and when they resume.
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
		a.log.WithField("why", reason).Error("the fleet refuses this driver a lease")
	case isDisconnected && !a.isDisconnected && reason == "":
		a.log.WithError(err).Warn("renewing the lease from the fleet failed; retrying")
	case !isDisconnected && a.isDisconnected:
		a.log.WithField("start", a.start).Info("lease from the fleet renewed again")
	}
	a.isDisconnected, a.refusalReason = isDisconnected, reason
}

// registerOrRenew registers, or renews the lease. isBusy is set if the next report is due soon.
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

// join registers this start: it asks for a number and then confirms it.
func (a *FleetAgent) join(ctx context.Context) error {
	var offered, confirmed roster.StartNumber
	if err := a.client.post(ctx, "fleet/join", joinRequest{Claim: a.claim}, &offered); err != nil {
		return err
	}
	if err := a.client.post(ctx, "fleet/join", joinRequest{Claim: a.claim, Start: offered}, &confirmed); err != nil {
		return err
	}
	a.start = confirmed
	a.driver.Joined(versions.Instance{Name: a.claim.Name, Start: uint64(confirmed)}, a.claim.Token)
	return nil
}

func (a *FleetAgent) renew(ctx context.Context, wait time.Duration) (isBusy bool, err error) {
	sightings, observedAt := a.driver.VersionReports()
	var response leaseResponse
	request := leaseRequest{Name: a.claim.Name, Token: a.claim.Token, Reports: sightings, WaitMs: wait.Milliseconds()}
	if a.peerMonitor != nil {
		request.Gossip = &gossipReport{a.peerMonitor.Unreachable()}
	}
	part := a.driver.TrailSince(a.storedTrailSeq, maxEntriesPerRequest)
	if len(part.Entries) > 0 {
		request.Trails = []audit.Segment{part}
	}
	if len(part.Entries) == maxEntriesPerRequest {
		request.WaitMs = 0 // more entries may follow
	}
	err = a.client.post(ctx, "fleet/renew", request, &response)
	if err != nil {
		return false, err
	}
	a.storedTrailSeq = response.StoredTrailSeq // a new leader may hold fewer entries
	a.retryAfter = time.Duration(response.RetryAfter)
	a.driver.ApplyVersionGrant(observedAt, response.Grant)
	return len(response.Assignments) > 0 || hasOtherVersionInFlight(sightings), nil
}

// hasOtherVersionInFlight reports whether RPCs are in flight under a version other than the current one.
func hasOtherVersionInFlight(sightings []versions.Report) bool {
	for _, s := range sightings {
		for _, n := range s.InFlight {
			if n != s.Active {
				return true
			}
		}
	}
	return false
}

const leaveTimeout = 500 * time.Millisecond

// leave tells the fleet that this driver has stopped acting, with the rest of its trail. If that fails,
// its lease expires.
func (a *FleetAgent) leave() {
	if a.start == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	request := leaseRequest{Name: a.claim.Name, Token: a.claim.Token, Trails: []audit.Segment{a.driver.FlushTrail(a.storedTrailSeq)}}
	if err := a.client.post(ctx, "fleet/leave", request, nil); err != nil {
		a.log.WithError(err).Warn("reporting to the fleet that this driver leaves failed")
	}
}
