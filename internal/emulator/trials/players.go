package trials

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/emulator/links/relays"
	"sedgespread/internal/emulator/sockets"
)

// players are clients that each write and read one key, one RPC after another, each at some driver.
type players struct {
	n      *Cluster
	chance *locked
	some   func() *sockets.Driver // one that takes clients
	pause  time.Duration          // of one client between its RPCs, in the mean
	every  time.Duration          // if not 0 one client's RPCs are due so far apart in the mean, however long they take
	work   sync.WaitGroup
	stop   atomic.Bool

	counts      sync.Mutex
	rpcs        map[sockets.Outcome]int
	waits       []float64 // seconds that served writes took
	writes      int
	turned      int // writes that were pushed back
	unexplained int // RPCs without an answer at drivers that had no trouble
	faults      map[string]int
}

const usualPause = 60 * time.Millisecond

func newPlayers(seed uint64, some func() *sockets.Driver) *players {
	return &players{chance: &locked{rng: rand.New(rand.NewPCG(seed, 7))}, some: some, pause: usualPause, rpcs: map[sockets.Outcome]int{}, faults: map[string]int{}}
}

// play starts a client for each key of some tenants.
func (p *players) play(ctx context.Context, tenants, keys int) {
	for t := range tenants {
		for k := range keys {
			p.work.Add(1)
			go func() { defer p.work.Done(); p.client(ctx, fmt.Sprintf("t%d/%d", t, k)) }()
		}
	}
}

// end lets all clients end.
func (p *players) end() {
	p.stop.Store(true)
	p.work.Wait()
}

// client writes and reads one key.
func (p *players) client(ctx context.Context, key string) {
	for due := time.Now(); !p.stop.Load() && ctx.Err() == nil; {
		d := p.some()
		known, position := p.n.Fleet.LastAcknowledged(key)
		rpc := sockets.RPC{Method: own.Name, Key: key, Group: 1, Timeout: own.Timeout, MinPosition: position}
		write := p.chance.intN(2) == 0
		if write {
			rpc = sockets.RPC{Method: move.Name, Key: key, Write: true, Group: 1, Timeout: move.Timeout}
		}
		begun := time.Now()
		r := p.n.Clients.Call(ctx, d.Address, rpc)
		if r.Outcome == sockets.Served && !write {
			p.n.Fleet.Read(r.ID, key, r.Value, known)
		}
		p.count(d, r, begun, write)
		if r.Outcome == sockets.Rejected {
			time.Sleep(r.RetryAfter)
		}
		if p.every == 0 {
			time.Sleep(time.Duration(float64(p.pause) * (0.5 + p.chance.float())))
			continue
		}
		due = due.Add(time.Duration(float64(p.every) * (0.5 + p.chance.float())))
		time.Sleep(time.Until(due))
	}
}

// count notes what came of an RPC. One without an answer is a breach unless its driver was in trouble meanwhile, which
// the drivers were told by the trial itself.
func (p *players) count(d *sockets.Driver, r sockets.Reply, begun time.Time, write bool) {
	p.counts.Lock()
	defer p.counts.Unlock()
	p.rpcs[r.Outcome]++
	if write {
		p.writes++
		if r.Outcome == sockets.Rejected {
			p.turned++
		}
		if r.Outcome == sockets.Served {
			p.waits = append(p.waits, r.Latency.Seconds())
		}
	}
	if r.Outcome >= sockets.TimedOut && r.Outcome != sockets.ConnectFailed && !d.DisruptedSince(begun.Add(-trouble)) && !p.stop.Load() {
		p.unexplained++
		p.n.Fleet.RecordNoAnswer(r.ID)
	}
}

// trouble is how long a driver that was paused or killed may still leave RPCs without an answer.
const trouble = 3 * time.Second

// fault is a trouble with how to begin and how to end it.
type fault struct {
	name  string
	every time.Duration // in the mean
	do    func(ctx context.Context)
}

// trouble brings a fault about again and again until the context ends.
func (p *players) trouble(ctx context.Context, f fault) {
	for relays.Sleep(ctx, time.Duration(float64(f.every)*(0.5+p.chance.float()))) {
		p.counts.Lock()
		p.faults[f.name]++
		p.counts.Unlock()
		f.do(ctx)
	}
}

// befell adds what faults were brought about.
func (p *players) befell(faults map[string]int) {
	p.counts.Lock()
	defer p.counts.Unlock()
	for name, n := range p.faults {
		faults[name] += n
	}
}

// again kills a driver and starts it again after a while.
func again(ctx context.Context, d *sockets.Driver, after time.Duration) {
	d.Kill()
	relays.Sleep(ctx, after)
	d.Start(context.Background())
}

// still lets a driver stand still for a while.
func still(ctx context.Context, d *sockets.Driver, span time.Duration) {
	d.Pause()
	relays.Sleep(ctx, span)
	d.Continue()
}

// logs are the last lines of all drivers.
func (n *Cluster) logs() (logs string) {
	for _, d := range n.Drivers {
		all := strings.Split(strings.TrimSpace(d.Log()), "\n")
		logs += d.Name + ":\n" + strings.Join(all[max(0, len(all)-12):], "\n") + "\n"
	}
	return logs
}
