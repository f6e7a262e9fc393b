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
	coordinator Client
	name        string
	incarnation uint64
	lease       time.Duration
	driver      CellDriver
	log         logrus.FieldLogger
	lost        bool
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
func NewCellAgent(at []string, name string, incarnation uint64, lease time.Duration, d CellDriver, log logrus.FieldLogger) *CellAgent {
	return &CellAgent{coordinator: NewClient(at...), name: name, incarnation: incarnation, lease: lease, driver: d, log: log}
}

const (
	movingEvery = 15 * time.Millisecond  // reports are so far apart while moves are under way
	lostEvery   = 100 * time.Millisecond // and while the coordinator can't be asked
	waitShare   = 4                      // else an answer may wait for this part of the lease
	slack       = 2 * time.Second        // an answer may take, beyond what it was asked to wait
	leastSlack  = 100 * time.Millisecond // where another can be asked, which is a part of the lease as waitShare is
)

// slack is how long an answer may take, beyond what it was asked to wait: so that one that stands still does not cost the
// lease, the next is asked in time.
func (f *CellAgent) slack() time.Duration {
	if f.coordinator.HasFallback() {
		return slackOf(f.lease)
	}
	return slack
}

// slackOf is that where another can be asked.
func slackOf(lease time.Duration) time.Duration { return min(slack, max(leastSlack, lease/waitShare)) }

// Run follows until the context ends.
func (f *CellAgent) Run(ctx context.Context) {
	defer f.coordinator.close()
	for ctx.Err() == nil {
		moving, err := f.renew(ctx)
		f.note(ctx, err)
		pause := movingEvery
		if err != nil {
			pause = lostEvery
		} else if !moving {
			pause = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// note logs when the coordinator can't be asked any more, and when it can again.
func (f *CellAgent) note(ctx context.Context, err error) {
	if lost := err != nil; lost != f.lost && ctx.Err() == nil {
		f.lost = lost
		if lost {
			f.log.WithError(err).Warn("no lease from the coordinator")
		} else {
			f.log.Info("leases from the coordinator again")
		}
	}
}

// renew asks once, and tells whether moves are under way.
func (f *CellAgent) renew(ctx context.Context) (moving bool, err error) {
	report, at := f.driver.Report(f.name, f.incarnation)
	moving = len(report.Moves) > 0
	wait := f.lease / waitShare
	if moving || f.lost {
		wait = 0
	}
	var grant cells.Grant
	by, stop := context.WithTimeout(ctx, wait+f.slack())
	defer stop()
	err = f.coordinator.ask(by, "renew", renewal{report, wait.Milliseconds()}, &grant)
	if err != nil {
		f.coordinator.next()
		return false, err
	}
	if grant.Lease == 0 {
		return false, errors.New("the coordinator knows less than this driver, or has seen a newer one of its name")
	}
	return moving || len(grant.Entries) > 0, f.driver.ReportGrant(at, grant)
}

// Client is the way to a coordinator: to it, or to several of which any passes on to it what it is asked.
type Client struct {
	bases  []string
	at     *atomic.Int64 // the one that is asked first
	client *http.Client
}

// NewClient names a coordinator by its address, or the addresses of all who know it; nothing is sent yet.
func NewClient(at ...string) Client {
	c := Client{at: &atomic.Int64{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	for _, a := range at {
		c.bases = append(c.bases, "http://"+a+"/v1/")
	}
	return c
}

// HasFallback tells whether there is another to ask where one does not answer.
func (c Client) HasFallback() bool { return len(c.bases) > 1 }

// next lets another be asked first.
func (c Client) next() { c.at.Add(1) }

func (c Client) close() { c.client.CloseIdleConnections() }

// ask asks whoever answers.
func (c Client) ask(ctx context.Context, what string, asked, into any) (err error) {
	for range c.bases {
		base := c.bases[int(c.at.Load())%len(c.bases)]
		if err = jsonhttp.Post(ctx, c.client, base+what, asked, into); !jsonhttp.ShouldTryAnother(err) || ctx.Err() != nil {
			return err
		}
		c.next()
	}
	return err
}

// Move asks for moves.
func (c Client) Move(ctx context.Context, moves []MoveRequest) error {
	return c.ask(ctx, "move", moves, nil)
}

// Abort asks to call a move off.
func (c Client) Abort(ctx context.Context, m MoveRequest) error { return c.ask(ctx, "abort", m, nil) }

// State asks where moves stand.
func (c Client) State(ctx context.Context) (s CoordinatorState, err error) {
	err = c.ask(ctx, "state", struct{}{}, &s)
	return s, err
}

// Council asks how the council stands.
func (c Client) Council(ctx context.Context) (s chamber.State, err error) {
	err = c.ask(ctx, "council/state", struct{}{}, &s)
	return s, err
}

// ChangeCouncil asks for other voters.
func (c Client) ChangeCouncil(ctx context.Context, change chamber.VoterChange) error {
	return c.ask(ctx, "council/change", change, nil)
}

// NewHTTPFill asks a store over HTTP.
func NewHTTPFill(url string) FillFunc {
	client := &http.Client{Timeout: fillWithin}
	return func(ctx context.Context, f FillRequest) error { return jsonhttp.Post(ctx, client, url, f, nil) }
}

const fillWithin = 10 * time.Second
