package sockets

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgespread/internal/clock"
	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// Method is what drivers are told of a method.
type Method struct {
	Name         string
	Effect       string // repeatable or once
	ReadLevel    string // what a read needs: loose, own_writes or latest; update for a write
	SoftDeadline time.Duration
	Timeout      time.Duration // all that a client waits
	Utility      float64
	LateShare    float64 // share of Utility after the soft deadline
}

// Driver is a driver's process.
type Driver struct {
	Name     string
	Address  string
	Disk     string // what it keeps over a restart, empty for nothing
	program  string
	env      []string
	twin     []string // the environment of another of its name
	off      time.Duration
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	troubled time.Time // it was paused or killed last, or is
	trouble  sync.Mutex
	log      bytes.Buffer
}

// write lets a driver's output be kept.
func (d *Driver) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(p)
}

// Log is what a driver has written.
func (d *Driver) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// handedOut are the addresses that this process gave away: the system may offer one again before whoever got it listens there.
var handedOut = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// FreeAddresses are loopback addresses that were free a moment ago, none given away before. Nobody connects from where they are, which
// would take the port of one that is not listened on yet, or not for a while.
func FreeAddresses(count int) (free []string, err error) {
	handedOut.Lock()
	defer handedOut.Unlock()
	for len(free) < count {
		l, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		if address := l.Addr().String(); !handedOut.addresses[address] {
			handedOut.addresses[address] = true
			free = append(free, address)
		}
	}
	return free, nil
}

// NewDrivers writes what so many drivers are told into files in a directory and gives them, not started. The operator's
// text is each one's, empty for no file.
func (f *Fleet) NewDrivers(program, dir string, count int, methods []Method, text func(i int) string) (drivers []*Driver, err error) {
	classes, levels := []any{}, []any{}
	for _, m := range methods {
		classes = append(classes, map[string]any{"name": m.Name, "effect": m.Effect, "aimUs": m.SoftDeadline.Microseconds(),
			"giveUpUs": m.Timeout.Microseconds(), "worth": m.Utility, "lateWorth": m.LateShare})
		levels = append(levels, m.ReadLevel)
	}
	addresses, err := FreeAddresses(count)
	if err != nil {
		return nil, err
	}
	for i := range count {
		d := &Driver{Name: fmt.Sprintf("n%d", i), program: program, Address: addresses[i]}
		told := map[string]any{"seed": fmt.Sprintf("%x", i+1), "known": f.DiscoveryList(),
			"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 2048},
			"settings": map[string]any{"classes": classes,
				"extra": map[string]any{"readLevel": levels, "guards": "none", "tokens": "client"},
				"limits": map[string]any{"probing": true, "cancelling": true, "mostTries": 4, "connectTimeoutUs": 250_000,
					"keepaliveUs": 30_000_000, "retryAfter": true, "maxRetryAfterUs": 500_000},
				"safety": map[string]any{"askEveryUs": 20_000_000, "startCapacity": f.model.ColdCapacity, "warmAfterUs": f.model.WarmUpTime / 1000,
					"fallMultiple": f.model.OverloadFactor, "drainGraceUs": f.model.DrainGrace / 1000}, "discovery": "subscribe", "fleetSize": count}}
		config, err := json.Marshal(told)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(dir, d.Name+".json")
		if err := os.WriteFile(path, config, 0o600); err != nil {
			return nil, err
		}
		d.env = append(os.Environ(), "GW_NAME="+d.Name, "GW_LISTEN="+d.Address, "GW_DISCOVERY="+f.DiscoveryAddress(), "GW_CONFIG="+path)
		if text := text(i); text != "" {
			orders := filepath.Join(dir, d.Name+".textproto")
			if err := os.WriteFile(orders, []byte(text), 0o600); err != nil {
				return nil, err
			}
			d.env = append(d.env, "GW_OPERATOR="+orders)
		}
		drivers = append(drivers, d)
	}
	return drivers, nil
}

// ConfigureTwin says what an operator's file tells a twin of a driver. It serves clients at an address of its own.
func (d *Driver) ConfigureTwin(dir, text string) error {
	at, err := FreeAddresses(1)
	if err != nil {
		return err
	}
	orders := filepath.Join(dir, d.Name+"-twin.textproto")
	d.twin = append(append([]string(nil), d.env...), "GW_LISTEN="+at[0], "GW_OPERATOR="+orders)
	return os.WriteFile(orders, []byte(text), 0o600)
}

const readyWithin = 10 * time.Second

// Start starts a driver that does not run, and waits until it is ready.
func (d *Driver) Start(ctx context.Context) error {
	if err := d.Launch(); err != nil {
		return err
	}
	by, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	return d.WaitReady(by)
}

// StartAll starts drivers that do not run at once, and waits until all are ready: some may need others.
func StartAll(ctx context.Context, drivers []*Driver) error {
	for _, d := range drivers {
		if err := d.Launch(); err != nil {
			return err
		}
	}
	by, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	for _, d := range drivers {
		if err := d.WaitReady(by); err != nil {
			return err
		}
	}
	return nil
}

// Launch starts a driver that does not run.
func (d *Driver) Launch() error {
	cmd := d.command(d.env)
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	go func() { cmd.Wait(); close(done) }()
	return nil
}

func (d *Driver) command(env []string) *exec.Cmd {
	cmd := exec.Command(d.program, "serve")
	cmd.Env, cmd.Stdout, cmd.Stderr = append(append([]string(nil), env...), clock.OffsetEnv+"="+d.off.String()), d, d
	return cmd
}

// OffsetClock lets the driver's wall clock be off at its next starts.
func (d *Driver) OffsetClock(by time.Duration) { d.off = by }

// WipeDisk takes the disk of a driver that does not run away.
func (d *Driver) WipeDisk() error {
	err := os.Remove(d.Disk)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// CopyDisk makes a copy of the disk. The driver stands still meanwhile, so that the copy is what the disk was at one moment.
func (d *Driver) CopyDisk() error {
	if d.IsRunning() {
		d.Pause()
		defer d.Continue()
	}
	return copyFile(d.Disk, d.Disk+".copy")
}

// RestoreDisk puts the copy in place of the disk of a driver that does not run, and keeps that for Return.
func (d *Driver) RestoreDisk() error {
	if err := os.Rename(d.Disk, d.Disk+".newest"); err != nil {
		return err
	}
	return copyFile(d.Disk+".copy", d.Disk)
}

// RestoreNewestDisk gives a driver that does not run the disk again that it had before PutBack.
func (d *Driver) RestoreNewestDisk() error { return os.Rename(d.Disk+".newest", d.Disk) }

func copyFile(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, text, 0o600)
}

// StartTwin starts another process of the driver's name beside it, and gives what ends it.
func (d *Driver) StartTwin(context.Context) (end func(), err error) {
	cmd := d.command(d.twin)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		cmd.Process.Kill()
		cmd.Wait()
	}, nil
}

// WaitReady waits until a driver that was started takes RPCs.
func (d *Driver) WaitReady(by context.Context) error {
	sockets := transport.NewDescriptors(mostConns)
	for by.Err() == nil {
		m, end := protocol.Connect(by, by, sockets, d.Address, protocol.RingBytes, nil)
		if end == transport.Open {
			end = m.Ping(by)
			m.Close(transport.ShutDown)
		}
		if end == transport.Open {
			return nil
		}
		select {
		case <-d.done:
			return fmt.Errorf("driver %s ended: %s", d.Name, strings.TrimSpace(d.Log()))
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("driver %s is not ready: %s", d.Name, strings.TrimSpace(d.Log()))
}

// Signal sends a signal to a driver that runs.
func (d *Driver) Signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.troubled = time.Now()
	if d.cmd == nil {
		return errors.New("the driver does not run")
	}
	return d.cmd.Process.Signal(s)
}

// Pause lets a driver stand still.
func (d *Driver) Pause() error { return d.Signal(syscall.SIGSTOP) }

// Continue lets a driver that stands still go on.
func (d *Driver) Continue() error { return d.Signal(syscall.SIGCONT) }

// Kill ends a driver at once, and waits until it is gone.
func (d *Driver) Kill() error {
	err := d.Signal(syscall.SIGKILL)
	if err == nil {
		<-d.done
	}
	return err
}

// Reload lets a driver read its files again.
func (d *Driver) Reload() error { return d.Signal(syscall.SIGHUP) }

// RunExclusive lets one trouble after another befall a driver: each leaves it as it found it.
func (d *Driver) RunExclusive(trouble func()) {
	d.trouble.Lock()
	defer d.trouble.Unlock()
	trouble()
}

// IsRunning tells whether a driver was started and has not ended.
func (d *Driver) IsRunning() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// DisruptedSince tells whether a driver was paused, continued, killed or started again since a time.
func (d *Driver) DisruptedSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.troubled.After(since)
}
