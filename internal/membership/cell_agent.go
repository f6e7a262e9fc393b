package membership

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/cells"
	"sedgespread/internal/council/server"
	"sedgespread/internal/jsonhttp"
)

// CellAgent keeps a driver's lease from the coordinator renewed and applies placement entries.
type CellAgent struct {
	client         Client
	name           string
	incarnation    uint64
	lease          time.Duration
	driver         CellDriver
	log            logrus.FieldLogger
	isDisconnected bool
}

// CellDriver is the driver on whose behalf a CellAgent acts.
type CellDriver interface {
	// CellReport returns a report for the coordinator, and the time on the driver's clock.
	CellReport(name string, incarnation uint64) (r cells.Report, at int64)
	// ApplyCellGrant applies a grant to a report of the given time.
	ApplyCellGrant(reportedAt int64, grant cells.Grant) error
}

// NewCellAgent returns an agent that asks any of the given addresses. The incarnation must increase
// with each start of the driver.
func NewCellAgent(addresses []string, name string, incarnation uint64, lease time.Duration, driver CellDriver, log logrus.FieldLogger) *CellAgent {
	return &CellAgent{client: NewClient(addresses...), name: name, incarnation: incarnation, lease: lease, driver: driver, log: log}
}

const (
	busyReportInterval = 15 * time.Millisecond  // between reports while moves are in progress
	reconnectInterval  = 100 * time.Millisecond // between reports while the coordinator is unreachable
	leaseWaitDivisor   = 4                      // a request waits for changes for the lease divided by this
	maxResponseMargin  = 2 * time.Second        // for an answer, beyond the wait it was asked for
	minResponseMargin  = 100 * time.Millisecond // the same where there is a fallback address
)

// responseMargin returns how long an answer may take beyond the wait it was asked for. It is short if
// there is a fallback, so that a hung server does not cost the lease.
func (a *CellAgent) responseMargin() time.Duration {
	if a.client.HasFallback() {
		return fallbackResponseMargin(a.lease)
	}
	return maxResponseMargin
}

// fallbackResponseMargin returns the response margin where there is a fallback address.
func fallbackResponseMargin(lease time.Duration) time.Duration {
	return min(maxResponseMargin, max(minResponseMargin, lease/leaseWaitDivisor))
}

// Run renews the lease until the context ends.
func (a *CellAgent) Run(ctx context.Context) {
	defer a.client.close()
	for ctx.Err() == nil {
		isMoving, err := a.renew(ctx)
		a.logConnectivity(ctx, err)
		pause := busyReportInterval
		if err != nil {
			pause = reconnectInterval
		} else if !isMoving {
			pause = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// logConnectivity logs when leases stop and when they resume.
func (a *CellAgent) logConnectivity(ctx context.Context, err error) {
	if isDisconnected := err != nil; isDisconnected != a.isDisconnected && ctx.Err() == nil {
		a.isDisconnected = isDisconnected
		if isDisconnected {
			a.log.WithError(err).Warn("renewing the lease from the coordinator failed; retrying")
		} else {
			a.log.Info("lease from the coordinator renewed again")
		}
	}
}

// renew makes one renewal request. isMoving is set if moves are in progress.
func (a *CellAgent) renew(ctx context.Context) (isMoving bool, err error) {
	report, reportedAt := a.driver.CellReport(a.name, a.incarnation)
	isMoving = len(report.Moves) > 0
	wait := a.lease / leaseWaitDivisor
	if isMoving || a.isDisconnected {
		wait = 0
	}
	var grant cells.Grant
	requestCtx, cancel := context.WithTimeout(ctx, wait+a.responseMargin())
	defer cancel()
	err = a.client.post(requestCtx, "renew", renewalRequest{report, wait.Milliseconds()}, &grant)
	if err != nil {
		a.client.rotate()
		return false, err
	}
	if grant.Lease == 0 {
		return false, errors.New("no lease granted: the coordinator is behind this driver, or has seen a newer incarnation")
	}
	return isMoving || len(grant.Entries) > 0, a.driver.ApplyCellGrant(reportedAt, grant)
}

// Client calls the coordinator and the council over HTTP. Any of the servers forwards a request to the
// leader.
type Client struct {
	baseURLs  []string
	preferred *atomic.Int64 // index, modulo their number, of the URL to try first
	client    *http.Client
}

// NewClient returns a client for the servers at the given addresses. It does not connect yet.
func NewClient(addresses ...string) Client {
	c := Client{preferred: &atomic.Int64{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	for _, address := range addresses {
		c.baseURLs = append(c.baseURLs, "http://"+address+"/v1/")
	}
	return c
}

// HasFallback reports whether there is more than one server.
func (c Client) HasFallback() bool { return len(c.baseURLs) > 1 }

// rotate makes the next server the preferred one.
func (c Client) rotate() { c.preferred.Add(1) }

func (c Client) close() { c.client.CloseIdleConnections() }

// post sends a request to the preferred server, and to the others in turn if that fails.
func (c Client) post(ctx context.Context, path string, request, response any) (err error) {
	for range c.baseURLs {
		base := c.baseURLs[int(c.preferred.Load())%len(c.baseURLs)]
		if err = jsonhttp.Post(ctx, c.client, base+path, request, response); !jsonhttp.ShouldTryAnother(err) || ctx.Err() != nil {
			return err
		}
		c.rotate()
	}
	return err
}

// Move requests moves.
func (c Client) Move(ctx context.Context, moves []MoveRequest) error {
	return c.post(ctx, "move", moves, nil)
}

// Abort requests that a tenant's move be aborted.
func (c Client) Abort(ctx context.Context, m MoveRequest) error { return c.post(ctx, "abort", m, nil) }

// State fetches the state of the coordinator and its moves.
func (c Client) State(ctx context.Context) (s CoordinatorState, err error) {
	err = c.post(ctx, "state", struct{}{}, &s)
	return s, err
}

// Council fetches the state of the council.
func (c Client) Council(ctx context.Context) (s server.State, err error) {
	err = c.post(ctx, "council/state", struct{}{}, &s)
	return s, err
}

// ChangeCouncil requests a change of voters.
func (c Client) ChangeCouncil(ctx context.Context, change server.VoterChange) error {
	return c.post(ctx, "council/change", change, nil)
}

// NewHTTPFill returns a FillFunc that posts requests to a URL of the store.
func NewHTTPFill(url string) FillFunc {
	client := &http.Client{Timeout: fillTimeout}
	return func(ctx context.Context, request FillRequest) error {
		return jsonhttp.Post(ctx, client, url, request, nil)
	}
}

const fillTimeout = 10 * time.Second
