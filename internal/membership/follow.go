package membership

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/cells"
	"sedgespread/internal/jsonhttp"
)

// Follower is a driver's side: it asks the coordinator for its lease again and again.
type Follower struct {
	coordinator Coordinator
	name        string
	incarnation uint64
	lease       time.Duration
	driver      Driver
	log         logrus.FieldLogger
	lost        bool
}

// Driver is what a follower asks of the driver that it stands for.
type Driver interface {
	// Report is what the coordinator is told, and when that was, on the driver's clock.
	Report(name string, incarnation uint64) (r cells.Report, at int64)
	// ReportGrant takes what the coordinator granted to a report of that time.
	ReportGrant(asked int64, g cells.Grant) error
}

// NewFollower makes a driver's follower. The incarnation must be newer after each start.
func NewFollower(at, name string, incarnation uint64, lease time.Duration, d Driver, log logrus.FieldLogger) *Follower {
	return &Follower{coordinator: Dial(at), name: name, incarnation: incarnation, lease: lease, driver: d, log: log}
}

const (
	movingEvery = 15 * time.Millisecond  // reports are so far apart while moves are under way
	lostEvery   = 100 * time.Millisecond // and while the coordinator can't be asked
	waitShare   = 4                      // else an answer may wait for this part of the lease
	slack       = 2 * time.Second        // an answer may take, beyond what it was asked to wait
)

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
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
func (f *Follower) note(ctx context.Context, err error) {
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
func (f *Follower) renew(ctx context.Context) (moving bool, err error) {
	report, at := f.driver.Report(f.name, f.incarnation)
	moving = len(report.Moves) > 0
	wait := f.lease / waitShare
	if moving {
		wait = 0
	}
	var grant cells.Grant
	by, stop := context.WithTimeout(ctx, wait+slack)
	defer stop()
	err = f.coordinator.ask(by, "renew", renewal{report, wait.Milliseconds()}, &grant)
	if err != nil {
		return false, err
	}
	if grant.Lease == 0 {
		return false, errors.New("the coordinator knows less than this driver, or has seen a newer one of its name")
	}
	return moving || len(grant.Entries) > 0, f.driver.ReportGrant(at, grant)
}

// Coordinator is the way to a coordinator.
type Coordinator struct {
	base   string
	client *http.Client
}

// Dial names a coordinator by its address; nothing is sent yet.
func Dial(at string) Coordinator {
	return Coordinator{base: "http://" + at + "/v1/", client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

func (c Coordinator) close() { c.client.CloseIdleConnections() }

func (c Coordinator) ask(ctx context.Context, what string, asked, into any) error {
	return jsonhttp.Post(ctx, c.client, c.base+what, asked, into)
}

// Move asks for moves.
func (c Coordinator) Move(ctx context.Context, moves []Move) error {
	return c.ask(ctx, "move", moves, nil)
}

// Abort asks to call a move off.
func (c Coordinator) Abort(ctx context.Context, m Move) error { return c.ask(ctx, "abort", m, nil) }

// State asks where moves stand.
func (c Coordinator) State(ctx context.Context) (s State, err error) {
	err = c.ask(ctx, "state", struct{}{}, &s)
	return s, err
}

// HTTPFill asks a store over HTTP.
func HTTPFill(url string) Fill {
	client := &http.Client{Timeout: fillWithin}
	return func(ctx context.Context, f Filling) error { return jsonhttp.Post(ctx, client, url, f, nil) }
}

const fillWithin = 10 * time.Second
