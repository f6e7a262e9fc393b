// Case: a planned restart while clients have several commands out on each connection. What the driver
// still takes later than 0.7 s after SIGTERM has to be answered before SIGKILL.
package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"sedgespread/review/rig"
)

const (
	clients  = 4
	window   = 2 // commands out at once on each connection
	work     = 60 * time.Millisecond
	deadline = 2000 // of each command, in milliseconds; the longest of the settings
	warmUp   = 2 * time.Second
	// SIGKILL comes no sooner than the longest deadline plus 0.7 s; this one comes a second later.
	untilKill  = (deadline + 700 + 1000) * time.Millisecond
	takenLate  = 700 * time.Millisecond // after SIGTERM
	lastAnswer = 3 * time.Second
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

// command is one that a client sent.
type command struct {
	id                string
	written, answered time.Time
}

// session is one client's connection. It keeps window commands out for as long as the connection is open.
type session struct {
	mu       sync.Mutex
	commands []*command
	closed   time.Time // when the driver ended the connection, zero if it did not before it was killed
}

func (s *session) play(record *rig.Record, name, address string, stopAt <-chan struct{}, killed func() bool) error {
	client, err := rig.Connect(address)
	if err != nil {
		return err
	}
	defer client.Close()
	turns := make(chan struct{}, window)
	for range window {
		turns <- struct{}{}
	}
	sent := make(chan *command, window+1)
	ended := make(chan struct{})
	go func() {
		defer close(sent)
		for i := 0; ; i++ {
			select {
			case <-turns:
			case <-stopAt:
				return
			case <-ended:
				return
			}
			select {
			case <-stopAt:
				return
			default:
			}
			c := &command{id: fmt.Sprintf("%s-%03d", name, i)}
			text := rig.Read(c.id, "read", 1500)
			if i%4 == 3 {
				text = rig.Write(c.id, "write", deadline, 64)
			}
			if _, err := io.WriteString(client, rig.Query(text)); err != nil {
				return
			}
			c.written = time.Now()
			record.Printf("client %s wrote %s", name, c.id)
			s.mu.Lock()
			s.commands = append(s.commands, c)
			s.mu.Unlock()
			sent <- c
		}
	}()
	defer close(ended)
	for c := range sent {
		client.SetReadDeadline(time.Now().Add(deadline*time.Millisecond + lastAnswer))
		a, err := client.ReadAnswer()
		if err != nil {
			record.Printf("client %s waits for %s and reads: %v", name, c.id, err)
			if !killed() {
				s.closed = time.Now()
			}
			return nil
		}
		s.mu.Lock()
		c.answered = time.Now()
		s.mu.Unlock()
		record.Printf("client %s got the answer to %s: %v", name, c.id, a)
		turns <- struct{}{}
	}
	return nil
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
	limits := map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	driver, err := rig.StartDriver(record, "n1", discovery, discovery.List(), limits, rig.Settings())
	if err != nil {
		return 0, err
	}
	defer driver.End()
	if err := driver.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	isKilled := false
	killed := func() bool { mu.Lock(); defer mu.Unlock(); return isKilled }
	stop := make(chan struct{})
	sessions := make([]*session, clients)
	failures := make(chan error, clients)
	for i := range sessions {
		sessions[i] = &session{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := sessions[i].play(record, fmt.Sprintf("c%d", i), driver.Address, stop, killed); err != nil {
				failures <- err
			}
		}()
	}
	time.Sleep(warmUp)
	termAt := time.Now()
	if rig.Trouble() {
		driver.Signal(syscall.SIGTERM)
		select {
		case <-driver.Exited:
			record.Sayf("the driver ended by itself %v after SIGTERM", time.Since(termAt))
		case <-time.After(time.Until(termAt.Add(untilKill))):
		}
		mu.Lock()
		isKilled = true
		mu.Unlock()
		driver.Signal(syscall.SIGKILL)
		close(stop)
	} else {
		time.Sleep(untilKill)
		close(stop)
	}
	wait.Wait()
	select {
	case err := <-failures:
		return 0, err
	default:
	}
	total, late, lost := 0, 0, 0
	for _, s := range sessions {
		for _, c := range s.commands {
			total++
			isLate := rig.Trouble() && c.written.Sub(termAt) > takenLate
			forwarded := false
			for _, m := range members {
				forwarded = forwarded || len(m.Arrivals(c.id)) > 0
			}
			if isLate && forwarded {
				late++
			}
			if !c.answered.IsZero() || !forwarded {
				continue // a request that no member got may have crossed the end of the connection unread
			}
			if isLate || !rig.Trouble() {
				lost++
				record.Sayf("%s was written %v after SIGTERM, was read and forwarded, and had no answer at SIGKILL", c.id, c.written.Sub(termAt).Round(time.Millisecond))
			}
		}
	}
	record.Sayf("%d commands; %d written more than %v after SIGTERM and forwarded; %d of them never answered", total, late, takenLate, lost)
	if lost > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
