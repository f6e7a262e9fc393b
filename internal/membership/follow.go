package membership

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/cells"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
)

// CellAgent is a driver's side: it asks the coordinator for its lease again and again.
type CellAgent struct {
	client         Client
	name           string
	incarnation    uint64
	lease          time.Duration
	driver         CellDriver
	log            logrus.FieldLogger
	isDisconnected bool
}

// CellDriver is what a follower asks of the driver that it stands for.
type CellDriver interface {
	// Report is what the coordinator is told, and when that was, on the driver's clock.
	Report(name string, incarnation uint64) (r cells.Report, at int64)
	// ReportGrant takes what the coordinator granted to a report of that time.
	ReportGrant(asked int64, g cells.Grant) error
}

// NewCellAgent makes a driver's follower. The incarnation must be newer after each start. Where the coordinator is one of
// several it may ask any of them.
func NewCellAgent(addresses []string, name string, incarnation uint64, lease time.Duration, driver CellDriver, log logrus.FieldLogger) *CellAgent {
	return &CellAgent{client: NewClient(addresses...), name: name, incarnation: incarnation, lease: lease, driver: driver, log: log}
}

const (
	busyReportInterval = 15 * time.Millisecond  // reports are so far apart while moves are under way
	reconnectInterval  = 100 * time.Millisecond // and while the coordinator can't be asked
	leaseWaitDivisor   = 4                      // else an answer may wait for this part of the lease
	maxResponseMargin  = 2 * time.Second        // an answer may take, beyond what it was asked to wait
	minResponseMargin  = 100 * time.Millisecond // where another can be asked, which is a part of the lease as waitShare is
)

// responseMargin is how long an answer may take, beyond what it was asked to wait: so that one that stands still does not cost the
// lease, the next is asked in time.
func (a *CellAgent) responseMargin() time.Duration {
	if a.client.HasFallback() {
		return fallbackResponseMargin(a.lease)
	}
	return maxResponseMargin
}

// fallbackResponseMargin is that where another can be asked.
func fallbackResponseMargin(lease time.Duration) time.Duration {
	return min(maxResponseMargin, max(minResponseMargin, lease/leaseWaitDivisor))
}

// Run follows until the context ends.
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

// logConnectivity logs when the coordinator can't be asked any more, and when it can again.
func (a *CellAgent) logConnectivity(ctx context.Context, err error) {
	if isDisconnected := err != nil; isDisconnected != a.isDisconnected && ctx.Err() == nil {
		a.isDisconnected = isDisconnected
		if isDisconnected {
			a.log.WithError(err).Warn("no lease from the coordinator")
		} else {
			a.log.Info("leases from the coordinator again")
		}
	}
}

// renew asks once, and tells whether moves are under way.
func (a *CellAgent) renew(ctx context.Context) (isMoving bool, err error) {
	report, reportedAt := a.driver.Report(a.name, a.incarnation)
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
		return false, errors.New("the coordinator knows less than this driver, or has seen a newer one of its name")
	}
	return isMoving || len(grant.Entries) > 0, a.driver.ReportGrant(reportedAt, grant)
}

// Client is the way to a coordinator: to it, or to several of which any passes on to it what it is asked.
type Client struct {
	baseURLs  []string
	preferred *atomic.Int64 // the one that is asked first
	client    *http.Client
}

// NewClient names a coordinator by its address, or the addresses of all who know it; nothing is sent yet.
func NewClient(addresses ...string) Client {
	c := Client{preferred: &atomic.Int64{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	for _, address := range addresses {
		c.baseURLs = append(c.baseURLs, "http://"+address+"/v1/")
	}
	return c
}

// HasFallback tells whether there is another to ask where one does not answer.
func (c Client) HasFallback() bool { return len(c.baseURLs) > 1 }

// rotate lets another be asked first.
func (c Client) rotate() { c.preferred.Add(1) }

func (c Client) close() { c.client.CloseIdleConnections() }

// post asks whoever answers.
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

// Move asks for moves.
func (c Client) Move(ctx context.Context, moves []MoveRequest) error {
	return c.post(ctx, "move", moves, nil)
}

// Abort asks to call a move off.
func (c Client) Abort(ctx context.Context, m MoveRequest) error { return c.post(ctx, "abort", m, nil) }

// State asks where moves stand.
func (c Client) State(ctx context.Context) (s CoordinatorState, err error) {
	err = c.post(ctx, "state", struct{}{}, &s)
	return s, err
}

// Council asks how the council stands.
func (c Client) Council(ctx context.Context) (s chamber.State, err error) {
	err = c.post(ctx, "council/state", struct{}{}, &s)
	return s, err
}

// ChangeCouncil asks for other voters.
func (c Client) ChangeCouncil(ctx context.Context, change chamber.VoterChange) error {
	return c.post(ctx, "council/change", change, nil)
}

// NewHTTPFill asks a store over HTTP.
func NewHTTPFill(url string) FillFunc {
	client := &http.Client{Timeout: fillTimeout}
	return func(ctx context.Context, request FillRequest) error {
		return jsonhttp.Post(ctx, client, url, request, nil)
	}
}

const fillTimeout = 10 * time.Second
