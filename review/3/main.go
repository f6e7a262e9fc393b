// Case: many bad clients stop in the middle of a command and stay. The driver has to stay under its
// memory limit; the platform kills it when it does not.
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sedgespread/review/rig"
)

const (
	memoryMB   = 64 // what the bench gives a driver on some days, with 512 descriptors
	sockets    = 512
	badClients = 400
	badBytes   = 94 << 10 // of the value in each unfinished command
	rate       = 50       // usual requests a second
	work       = 20 * time.Millisecond
	calmFor    = 3 * time.Second
	playFor    = 12 * time.Second
	deadline   = 1500
	slack      = 550 * time.Millisecond
)

func main() {
	record := rig.NewRecord()
	code, err := run(record)
	if err != nil {
		record.Sayf("the case could not run: %v", err)
		code = rig.NotRun
	}
	record.Sayf("exit %d", code)
	os.Exit(code)
}

// anonymousMB returns the memory of a process, without the files that it maps.
func anonymousMB(pid int) (mb float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			mb = float64(kb) / 1024
		}
	}
	return mb
}

// misbehave opens a connection, sends a command but for its end, and reads what is sent to it.
func misbehave(address string, i int, written *atomic.Int64) {
	c, err := rig.Connect(address)
	if err != nil {
		return
	}
	defer c.Close()
	query := rig.Query(rig.Write(fmt.Sprintf("bad%04d", i), "write", deadline, badBytes))
	if n, _ := io.WriteString(c, query[:len(query)-100]); n == len(query)-100 {
		written.Add(1)
	}
	c.SetReadDeadline(time.Now().Add(playFor))
	io.Copy(io.Discard, c)
}

func run(record *rig.Record) (int, error) {
	var members []*rig.Member
	for i := range 3 {
		m, err := rig.NewMember(record, fmt.Sprintf("m%d", i+1), i == 0, work)
		if err != nil {
			return 0, err
		}
		members = append(members, m)
	}
	discovery, err := rig.NewDiscovery(record, members...)
	if err != nil {
		return 0, err
	}
	limits := map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	driver, err := rig.StartDriver(record, "n1", discovery, discovery.List(), limits, rig.Settings())
	if err != nil {
		return 0, err
	}
	defer driver.End()
	if err := driver.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var killed atomic.Bool
	var written atomic.Int64
	peak, stop, watched := 0.0, make(chan struct{}), make(chan struct{})
	go func() { // the platform
		defer close(watched)
		for n := 0; ; n++ {
			mb := anonymousMB(driver.PID())
			peak = max(peak, mb)
			if n%20 == 0 {
				record.Printf("platform: the driver has %.0f of %d MB", mb, memoryMB)
			}
			if mb > memoryMB {
				killed.Store(true)
				record.Sayf("platform: the driver has %.0f MB and is killed, its limit is %d MB", mb, memoryMB)
				driver.Signal(syscall.SIGKILL)
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	start := time.Now()
	if rig.Trouble() {
		time.AfterFunc(calmFor, func() {
			record.Printf("%d bad clients come", badClients)
			for i := range badClients {
				go misbehave(driver.Address, i, &written)
			}
		})
	}
	var counts tally
	play(record, driver.Address, start, &killed, &counts)
	close(stop)
	<-watched
	record.Sayf("%d unfinished commands were written by bad clients; %d usual requests: %d served, %d refused, %d failed, %d without an answer; the driver had %.0f of %d MB at most",
		written.Load(), counts.sent.Load(), counts.served.Load(), counts.refused.Load(), counts.failed.Load(), counts.unanswered.Load(), peak, memoryMB)
	if killed.Load() {
		return rig.Broken, nil
	}
	select {
	case err := <-driver.Exited:
		record.Sayf("the driver ended by itself: %v", err)
		return rig.Broken, nil
	default:
		return rig.Held, nil
	}
}

type tally struct{ sent, served, refused, failed, unanswered atomic.Int64 }

// play sends the usual requests at an even rate.
func play(record *rig.Record, address string, start time.Time, killed *atomic.Bool, counts *tally) {
	var wait sync.WaitGroup
	idle := make(chan *rig.Client, rate)
	for i := 0; time.Since(start) < playFor && !killed.Load(); i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / rate)))
		wait.Add(1)
		go func() {
			defer wait.Done()
			var c *rig.Client
			select {
			case c = <-idle:
			default:
				var err error
				if c, err = rig.Connect(address); err != nil {
					return
				}
			}
			counts.sent.Add(1)
			id := fmt.Sprintf("q%05d", i)
			text := rig.Read(id, "read", deadline)
			if i%5 == 4 {
				text = rig.Write(id, "write", deadline, 64)
			}
			c.SetReadDeadline(time.Now().Add(deadline*time.Millisecond + slack))
			a, err := c.Ask(text)
			switch {
			case err != nil:
				c.Close()
				counts.unanswered.Add(1)
				record.Printf("client: %s got no answer: %v", id, err)
				return
			case a.Code == "53300" || a.Code == "57P03":
				counts.refused.Add(1)
			case a.Code != "":
				counts.failed.Add(1)
			default:
				counts.served.Add(1)
			}
			record.Printf("client: %s got %v", id, a)
			select {
			case idle <- c:
			default:
				c.Close()
			}
		}()
	}
	wait.Wait()
}
