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
	Name        string
	Address     string
	Disk        string // what it keeps over a restart, empty for nothing
	program     string
	env         []string
	twinEnv     []string // the environment of another of its name
	clockOffset time.Duration
	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	disruptedAt time.Time // it was paused or killed last, or is
	exclusive   sync.Mutex
	log         bytes.Buffer
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

// reservedAddresses are the addresses that this process gave away: the system may offer one again before whoever got it listens there.
var reservedAddresses = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// FreeAddresses are loopback addresses that were free a moment ago, none given away before. Nobody connects from where they are, which
// would take the port of one that is not listened on yet, or not for a while.
func FreeAddresses(count int) (free []string, err error) {
	reservedAddresses.Lock()
	defer reservedAddresses.Unlock()
	for len(free) < count {
		listener, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		if address := listener.Addr().String(); !reservedAddresses.addresses[address] {
			reservedAddresses.addresses[address] = true
			free = append(free, address)
		}
	}
	return free, nil
}

// NewDrivers writes what so many drivers are told into files in a directory and gives them, not started. The operator's
// text is each one's, empty for no file.
func (f *Fleet) NewDrivers(program, dir string, count int, methods []Method, operatorText func(i int) string) (drivers []*Driver, err error) {
	classes, readLevels := []any{}, []any{}
	for _, m := range methods {
		classes = append(classes, map[string]any{"name": m.Name, "effect": m.Effect, "aimUs": m.SoftDeadline.Microseconds(),
			"giveUpUs": m.Timeout.Microseconds(), "worth": m.Utility, "lateWorth": m.LateShare})
		readLevels = append(readLevels, m.ReadLevel)
	}
	addresses, err := FreeAddresses(count)
	if err != nil {
		return nil, err
	}
	for i := range count {
		d := &Driver{Name: fmt.Sprintf("n%d", i), program: program, Address: addresses[i]}
		driverConfig := map[string]any{"seed": fmt.Sprintf("%x", i+1), "known": f.DiscoveryList(),
			"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 2048},
			"settings": map[string]any{"classes": classes,
				"extra": map[string]any{"readLevel": readLevels, "guards": "none", "tokens": "client"},
				"limits": map[string]any{"probing": true, "cancelling": true, "mostTries": 4, "connectTimeoutUs": 250_000,
					"keepaliveUs": 30_000_000, "retryAfter": true, "maxRetryAfterUs": 500_000},
				"safety": map[string]any{"askEveryUs": 20_000_000, "startCapacity": f.model.ColdCapacity, "warmAfterUs": f.model.WarmUpTime / 1000,
					"fallMultiple": f.model.OverloadFactor, "drainGraceUs": f.model.DrainGrace / 1000}, "discovery": "subscribe", "fleetSize": count}}
		config, err := json.Marshal(driverConfig)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(dir, d.Name+".json")
		if err := os.WriteFile(path, config, 0o600); err != nil {
			return nil, err
		}
		d.env = append(os.Environ(), "GW_NAME="+d.Name, "GW_LISTEN="+d.Address, "GW_DISCOVERY="+f.DiscoveryAddress(), "GW_CONFIG="+path)
		if operatorText := operatorText(i); operatorText != "" {
			operatorPath := filepath.Join(dir, d.Name+".textproto")
			if err := os.WriteFile(operatorPath, []byte(operatorText), 0o600); err != nil {
				return nil, err
			}
			d.env = append(d.env, "GW_OPERATOR="+operatorPath)
		}
		drivers = append(drivers, d)
	}
	return drivers, nil
}

// ConfigureTwin says what an operator's file tells a twin of a driver. It serves clients at an address of its own.
func (d *Driver) ConfigureTwin(dir, text string) error {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return err
	}
	operatorPath := filepath.Join(dir, d.Name+"-twin.textproto")
	d.twinEnv = append(append([]string(nil), d.env...), "GW_LISTEN="+addresses[0], "GW_OPERATOR="+operatorPath)
	return os.WriteFile(operatorPath, []byte(text), 0o600)
}

const readyTimeout = 10 * time.Second

// Start starts a driver that does not run, and waits until it is ready.
func (d *Driver) Start(ctx context.Context) error {
	if err := d.Launch(); err != nil {
		return err
	}
	deadline, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	return d.WaitReady(deadline)
}

// StartAll starts drivers that do not run at once, and waits until all are ready: some may need others.
func StartAll(ctx context.Context, drivers []*Driver) error {
	for _, d := range drivers {
		if err := d.Launch(); err != nil {
			return err
		}
	}
	deadline, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for _, d := range drivers {
		if err := d.WaitReady(deadline); err != nil {
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
	cmd.Env, cmd.Stdout, cmd.Stderr = append(append([]string(nil), env...), clock.OffsetEnv+"="+d.clockOffset.String()), d, d
	return cmd
}

// OffsetClock lets the driver's wall clock be off at its next starts.
func (d *Driver) OffsetClock(by time.Duration) { d.clockOffset = by }

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
func (d *Driver) StartTwin(context.Context) (stop func(), err error) {
	cmd := d.command(d.twinEnv)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		cmd.Process.Kill()
		cmd.Wait()
	}, nil
}

// WaitReady waits until a driver that was started takes RPCs.
func (d *Driver) WaitReady(ctx context.Context) error {
	descriptors := transport.NewDescriptors(maxConns)
	for ctx.Err() == nil {
		conn, reason := protocol.Connect(ctx, ctx, descriptors, d.Address, protocol.RingBytes, nil)
		if reason == transport.Open {
			reason = conn.Ping(ctx)
			conn.Close(transport.ShutDown)
		}
		if reason == transport.Open {
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
	d.disruptedAt = time.Now()
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
func (d *Driver) RunExclusive(fault func()) {
	d.exclusive.Lock()
	defer d.exclusive.Unlock()
	fault()
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
	return d.disruptedAt.After(since)
}
