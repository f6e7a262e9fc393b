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

// Process is a process that can be made to fail. Its disk is the state it keeps across restarts.
type Process interface {
	Pause() error
	Continue() error
	Kill() error
	Start(ctx context.Context) error
	WipeDisk() error              // deletes the disk; the process must not be running
	CopyDisk() error              // copies the disk, replacing the previous copy
	RestoreDisk() error           // replaces the disk by the copy; the process must not be running
	OffsetClock(by time.Duration) // sets the offset of the wall clock from the next start on
	StartTwin(ctx context.Context) (end func(), err error)
}

// Player plays timelines.
type Player struct {
	Network      *Network
	Processes    map[string]Process
	Output       io.Writer // played events are printed here; nil for no output
	mu           sync.Mutex
	faultCounts  map[links.FaultType]int
	processLocks map[string]*sync.Mutex
}

// FaultCounts returns the number of played events by fault.
func (p *Player) FaultCounts() map[links.FaultType]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.faultCounts)
}

// Play plays a timeline until its end or until the context ends, in which case active faults end at
// once. It returns the first failure to apply a fault to a process.
func (p *Player) Play(ctx context.Context, timeline links.Timeline) error {
	start := time.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	failed := make(chan error, len(timeline))
	for _, e := range timeline {
		if !Sleep(ctx, time.Until(start.Add(e.At))) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := p.playEvent(ctx, e); err != nil {
				failed <- fmt.Errorf("%v: %w", e, err)
			}
		}()
	}
	wait.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// playEvent starts and ends one fault.
func (p *Player) playEvent(ctx context.Context, e links.Event) error {
	p.mu.Lock()
	if p.faultCounts == nil {
		p.faultCounts, p.processLocks = map[links.FaultType]int{}, map[string]*sync.Mutex{}
	}
	p.faultCounts[e.Fault]++
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
		return fmt.Errorf("unknown process %q", e.Process)
	}
	lock := p.processLock(e.Process) // one fault of a process at a time
	lock.Lock()
	defer lock.Unlock()
	return p.applyToProcess(ctx, process, e)
}

func (p *Player) processLock(name string) *sync.Mutex {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.processLocks[name] == nil {
		p.processLocks[name] = &sync.Mutex{}
	}
	return p.processLocks[name]
}

// applyToProcess applies one fault to a process.
func (p *Player) applyToProcess(ctx context.Context, process Process, e links.Event) error {
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

// Sleep waits for a duration and reports whether the context is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
