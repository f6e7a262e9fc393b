package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Driver is a driver started by the line `run` of the deploy file.
type Driver struct {
	Name   string
	Addr   string
	Config map[string]any

	record *Record
	dir    string
	env    []string
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
}

var (
	startedMu sync.Mutex
	started   []*Driver
)

var (
	givenMu sync.Mutex
	given   = map[string]bool{}
)

// FreeAddr returns a free loopback address, none twice. No connection goes out from 127.0.0.2, so that none takes
// its port meanwhile.
func FreeAddr() (string, error) {
	givenMu.Lock()
	defer givenMu.Unlock()
	for {
		listener, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			return "", err
		}
		addr := listener.Addr().String()
		listener.Close()
		if !given[addr] {
			given[addr] = true
			return addr, nil
		}
	}
}

// NewDriver returns a driver, not started.
func NewDriver(record *Record, name string, config map[string]any, discovery string, env ...string) (*Driver, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	d := &Driver{Name: name, Addr: addr, Config: config, record: record, dir: os.Getenv("WORK")}
	d.env = append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+addr, "GW_DISCOVERY="+discovery, "GW_CONFIG="+d.configPath())
	d.env = append(d.env, env...)
	return d, d.WriteConfig()
}

func (d *Driver) configPath() string { return filepath.Join(d.dir, d.Name+".json") }

// WriteConfig replaces the configuration file.
func (d *Driver) WriteConfig() error {
	text, err := json.MarshalIndent(d.Config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.configPath()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(d.configPath()+".new", d.configPath())
}

// Start starts the process. Its output goes to a file in the work folder.
func (d *Driver) Start() error {
	log, err := os.OpenFile(filepath.Join(d.dir, d.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	d.cmd.Dir, d.cmd.Env, d.cmd.Stdout, d.cmd.Stderr = os.Getenv("ROOT"), d.env, log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	if err := d.notePid(); err != nil {
		return err
	}
	d.record.Printf("driver %s started, pid %d", d.Name, d.cmd.Process.Pid)
	cmd, done := d.cmd, make(chan struct{})
	d.done = done
	go func() {
		d.err = cmd.Wait()
		d.record.Printf("driver %s ended: %v", d.Name, cmd.ProcessState)
		close(done)
	}()
	startedMu.Lock()
	started = append(started, d)
	startedMu.Unlock()
	return nil
}

// notePid adds the process to the list of those that the script ends, should this program die.
func (d *Driver) notePid() error {
	pids, err := os.OpenFile(filepath.Join(d.dir, "pids"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer pids.Close()
	_, err = fmt.Fprintln(pids, d.cmd.Process.Pid)
	return err
}

// Signal sends the process a signal.
func (d *Driver) Signal(s syscall.Signal) {
	d.record.Printf("driver %s gets signal %v", d.Name, s)
	d.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (d *Driver) Ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process.
func (d *Driver) Wait(timeout time.Duration) bool {
	select {
	case <-d.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// AwaitReady asks an empty query until it is answered.
func (d *Driver) AwaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if d.Ended() {
			return fmt.Errorf("driver %s has ended", d.Name)
		}
		if Ask(d.Addr, "", time.Until(until)).Empty {
			d.record.Printf("driver %s is ready", d.Name)
			return nil
		}
	}
	return fmt.Errorf("driver %s is not ready after %v", d.Name, timeout)
}

// StopAll kills all drivers that were started.
func StopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, d := range started {
		if !d.Ended() {
			d.cmd.Process.Kill()
			<-d.done
		}
	}
}
