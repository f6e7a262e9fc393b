package relays

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"sedgespread/internal/emulator/links"
)

// Process is one that can be made to fail. Its disk is what it keeps over a restart.
type Process interface {
	Pause() error
	Continue() error
	Kill() error
	Start(ctx context.Context) error
	WipeDisk() error              // takes its disk away; it does not run
	CopyDisk() error              // makes a copy of its disk, in place of the one before
	RestoreDisk() error           // puts the copy in place of its disk; it does not run
	OffsetClock(by time.Duration) // its wall clock is off at its next starts
	StartTwin(ctx context.Context) (end func(), err error)
}

// Player plays timelines.
type Player struct {
	Network   *Network
	Processes map[string]Process
	Output    io.Writer // where what is done is printed, nil for nowhere
	mu        sync.Mutex
	faults    map[links.FaultType]int
	busy      map[string]*sync.Mutex
}

// FaultCounts are how many of each trouble were played.
func (p *Player) FaultCounts() map[links.FaultType]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.faults)
}

// Play plays a timeline to its end, or until the context ends; troubles that are on then end at once. What goes wrong with a
// process is an error.
func (p *Player) Play(ctx context.Context, t links.Timeline) error {
	begun := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	failed := make(chan error, len(t))
	for _, e := range t {
		if !Sleep(ctx, time.Until(begun.Add(e.At))) {
			break
		}
		all.Add(1)
		go func() {
			defer all.Done()
			if err := p.play(ctx, e); err != nil {
				failed <- fmt.Errorf("%v: %w", e, err)
			}
		}()
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// play lets one trouble begin and end.
func (p *Player) play(ctx context.Context, e links.Event) error {
	p.mu.Lock()
	if p.faults == nil {
		p.faults, p.busy = map[links.FaultType]int{}, map[string]*sync.Mutex{}
	}
	p.faults[e.Fault]++
	if p.Output != nil {
		fmt.Fprintln(p.Output, e)
	}
	p.mu.Unlock()
	process := p.Processes[e.Process]
	switch {
	case e.Process == "":
		p.Network.Begin(e)
		Sleep(ctx, e.Duration)
		p.Network.End(e)
		return nil
	case process == nil:
		return fmt.Errorf("there is no process %q", e.Process)
	}
	mine := p.of(e.Process) // one trouble of a process at a time
	mine.Lock()
	defer mine.Unlock()
	return p.befall(ctx, process, e)
}

func (p *Player) of(name string) *sync.Mutex {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] == nil {
		p.busy[name] = &sync.Mutex{}
	}
	return p.busy[name]
}

// befall lets a trouble befall a process.
func (p *Player) befall(ctx context.Context, process Process, e links.Event) error {
	switch e.Fault {
	case links.Pause:
		if err := process.Pause(); err != nil {
			return err
		}
		Sleep(ctx, e.Duration)
		return process.Continue()
	case links.CopyDisk:
		return process.CopyDisk()
	case links.Twin:
		end, err := process.StartTwin(ctx)
		if err != nil {
			return err
		}
		Sleep(ctx, e.Duration)
		end()
		return nil
	}
	if err := process.Kill(); err != nil {
		return err
	}
	Sleep(ctx, e.Duration)
	var err error
	switch e.Fault {
	case links.WipeDisk:
		err = process.WipeDisk()
	case links.RestoreDisk:
		err = process.RestoreDisk()
	case links.SkewClock:
		process.OffsetClock(time.Duration(e.Amount * float64(time.Second)))
	}
	if err == nil {
		err = process.Start(context.WithoutCancel(ctx))
	}
	return err
}

// Sleep waits, and tells whether the context has not ended meanwhile.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
