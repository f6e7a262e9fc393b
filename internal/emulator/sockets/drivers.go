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
	"sync/atomic"
	"syscall"
	"time"

	"sedgespread/internal/clock"
	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// Method is the configuration of a method.
type Method struct {
	Name         string
	Effect       string // repeatable or once (non-idempotent)
	ReadLevel    string // loose, own_writes or latest for a read; update for a write
	SoftDeadline time.Duration
	Timeout      time.Duration // how long a client waits
	Utility      float64
	LateShare    float64 // share of Utility earned after the soft deadline
}

// Limits are a driver's limits, as in its configuration file.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// DefaultLimits are ample for a trial.
var DefaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 2048}

// Driver is a driver process.
type Driver struct {
	Name        string
	Address     string
	Disk        string // path of the file that it keeps across restarts, empty for none
	program     string
	env         []string
	twinEnv     []string // environment of a second process of the same name
	clockOffset time.Duration
	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	disruptedAt time.Time // last signal sent by Signal
	exclusive   sync.Mutex
	peakMemory  atomic.Int64 // in MB
	log         bytes.Buffer
}

// Write appends output of the process to its log.
func (d *Driver) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(p)
}

// Log returns the output of the process.
func (d *Driver) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// reservedAddresses are the addresses that FreeAddresses has returned. The system may offer one
// again before its receiver listens on it.
var reservedAddresses = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// FreeAddresses returns free loopback addresses, none of which it returned before. They are on
// 127.0.0.2, which no outgoing connection uses, so that ephemeral ports can't collide with
// addresses that are not listened on yet.
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

// NewDrivers writes the configuration files of a number of drivers into a directory and returns the
// drivers, not started. operatorText returns the text of a driver's operator file, empty for none.
func (f *Fleet) NewDrivers(program, dir string, count int, limits Limits, methods []Method, operatorText func(i int) string) (drivers []*Driver, err error) {
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
			"limits": map[string]any{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
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
		if text := operatorText(i); text != "" {
			operatorPath := filepath.Join(dir, d.Name+".textproto")
			if err := os.WriteFile(operatorPath, []byte(text), 0o600); err != nil {
				return nil, err
			}
			d.env = append(d.env, "GW_OPERATOR="+operatorPath)
		}
		drivers = append(drivers, d)
	}
	return drivers, nil
}

// ConfigureTwin writes the operator file of a second process of the same name, which gets its own
// listening address.
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

// Start starts a driver that is not running and waits until it is ready.
func (d *Driver) Start(ctx context.Context) error {
	if err := d.Launch(); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return d.WaitReady(readyCtx)
}

// StartAll starts drivers concurrently and waits until all are ready, as some may depend on others.
func StartAll(ctx context.Context, drivers []*Driver) error {
	for _, d := range drivers {
		if err := d.Launch(); err != nil {
			return err
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range drivers {
		if err := d.WaitReady(readyCtx); err != nil {
			return err
		}
	}
	return nil
}

// Launch starts a driver that is not running without waiting.
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

// OffsetClock sets the offset of the driver's wall clock from its next start on.
func (d *Driver) OffsetClock(by time.Duration) { d.clockOffset = by }

// WipeDisk deletes the disk of a driver that is not running.
func (d *Driver) WipeDisk() error {
	err := os.Remove(d.Disk)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// CopyDisk copies the disk. A running driver is paused meanwhile so that the copy is consistent.
func (d *Driver) CopyDisk() error {
	if d.IsRunning() {
		d.Pause()
		defer d.Continue()
	}
	return copyFile(d.Disk, d.Disk+".copy")
}

// RestoreDisk replaces the disk of a driver that is not running by its copy and keeps the replaced
// one for RestoreNewestDisk.
func (d *Driver) RestoreDisk() error {
	if err := os.Rename(d.Disk, d.Disk+".newest"); err != nil {
		return err
	}
	return copyFile(d.Disk+".copy", d.Disk)
}

// RestoreNewestDisk undoes RestoreDisk for a driver that is not running.
func (d *Driver) RestoreNewestDisk() error { return os.Rename(d.Disk+".newest", d.Disk) }

func copyFile(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, text, 0o600)
}

// StartTwin starts a second process of the same name and returns a function that kills it.
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

// WaitReady waits until a driver that was started accepts RPCs.
func (d *Driver) WaitReady(ctx context.Context) error {
	descriptors := transport.NewDescriptors(maxConns)
	for ctx.Err() == nil {
		conn, reason := protocol.Connect(ctx, ctx, descriptors, d.Address, protocol.NewAnswerBudget(protocol.RingBytes, 0), nil)
		if reason == transport.Open {
			reason = conn.Ping(ctx)
			conn.Close(transport.ShutDown)
		}
		if reason == transport.Open {
			return nil
		}
		select {
		case <-d.done:
			return fmt.Errorf("driver %s exited before it was ready: %s", d.Name, strings.TrimSpace(d.Log()))
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("timed out waiting for driver %s to become ready: %s", d.Name, strings.TrimSpace(d.Log()))
}

// PeakMemory returns the most anonymous memory that WatchMemory has seen, in MB.
func (d *Driver) PeakMemory() int { return int(d.peakMemory.Load()) }

// WatchMemory looks at the memory of the process until the context ends.
func (d *Driver) WatchMemory(ctx context.Context) {
	const interval = 5 * time.Millisecond
	path := fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid)
	for ctx.Err() == nil {
		if status, err := os.ReadFile(path); err == nil {
			_, rest, _ := strings.Cut(string(status), "RssAnon:")
			var kilobytes int64
			fmt.Sscan(rest, &kilobytes)
			d.peakMemory.Store(max(d.peakMemory.Load(), kilobytes>>10))
		}
		time.Sleep(interval)
	}
}

// Signal sends a signal to a driver.
func (d *Driver) Signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disruptedAt = time.Now()
	if d.cmd == nil {
		return errors.New("driver was never started")
	}
	return d.cmd.Process.Signal(s)
}

// Pause stops the process with SIGSTOP.
func (d *Driver) Pause() error { return d.Signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (d *Driver) Continue() error { return d.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for its end.
func (d *Driver) Kill() error {
	err := d.Signal(syscall.SIGKILL)
	if err == nil {
		<-d.done
	}
	return err
}

// Reload makes the driver read its configuration files again.
func (d *Driver) Reload() error { return d.Signal(syscall.SIGHUP) }

// RunExclusive runs a function that disturbs the driver, one at a time, so that each finds the
// driver undisturbed.
func (d *Driver) RunExclusive(fault func()) {
	d.exclusive.Lock()
	defer d.exclusive.Unlock()
	fault()
}

// IsRunning reports whether the driver was started and has not ended.
func (d *Driver) IsRunning() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// DisruptedSince reports whether the driver was sent a signal after the given time.
func (d *Driver) DisruptedSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disruptedAt.After(since)
}
