// Case: usual clients send several commands at once on their connections, each a write with a value of
// the size that the pages allow. Every one of them has to get its final answer.
package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"sedgespread/review/rig"
)

const (
	memoryMB   = 64 // what the bench gives a driver on some days, with 512 descriptors
	sockets    = 512
	valueBytes = 64 << 10 // the most that the pages allow
	work       = 60 * time.Millisecond
	deadline   = 2000 // of each write, in milliseconds
	slack      = 550 * time.Millisecond
)

var (
	clients = fromEnv("CLIENTS", 40)
	depth   = fromEnv("DEPTH", 4) // commands that a client sends at once
)

func fromEnv(name string, otherwise int) int {
	n, _ := strconv.Atoi(os.Getenv(name))
	return cmp.Or(n, otherwise)
}

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

// session is one client's connection and what became of its commands.
type session struct {
	ids      []string
	written  []bool // the last byte was written
	answered []bool
	refused  int
}

// open connects a client and makes a first, small request on its connection.
func open(address, name string) (*rig.Client, error) {
	client, err := rig.Connect(address)
	if err != nil {
		return nil, err
	}
	client.SetReadDeadline(time.Now().Add(deadline*time.Millisecond + slack))
	if a, err := client.Ask(rig.Read(name+"-first", "read", 1500)); err != nil || a.Code != "" && a.Code != "53300" {
		return nil, fmt.Errorf("the first, small read got %v, %v", a, err)
	}
	return client, nil
}

// play sends all commands, window of them at once, and reads the answers.
func (s *session) play(record *rig.Record, client *rig.Client, name string, window int) {
	defer client.Close()
	turns, stop, writerDone := make(chan struct{}, depth), make(chan struct{}), make(chan struct{})
	for range window {
		turns <- struct{}{}
	}
	for i := range depth {
		s.ids = append(s.ids, fmt.Sprintf("%s-%d", name, i))
	}
	s.written, s.answered = make([]bool, depth), make([]bool, depth)
	go func() {
		defer close(writerDone)
		for i, id := range s.ids {
			select {
			case <-turns:
			case <-stop:
				return
			}
			if _, err := io.WriteString(client, rig.Query(rig.Write(id, "write", deadline, valueBytes))); err != nil {
				record.Printf("client %s could not write %s: %v", name, id, err)
				return
			}
			s.written[i] = true
			record.Printf("client %s wrote %s", name, id)
		}
	}()
	for i, id := range s.ids {
		client.SetReadDeadline(time.Now().Add(time.Duration(depth) * (deadline*time.Millisecond + slack)))
		a, err := client.ReadAnswer()
		if err != nil {
			record.Printf("client %s waits for the answer to %s and reads: %v", name, id, err)
			break
		}
		s.answered[i] = true
		if a.Code == "53300" {
			s.refused++
		}
		record.Printf("client %s got the answer to %s: %v", name, id, a)
		turns <- struct{}{}
	}
	close(stop)
	client.Close()
	<-writerDone
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
	window := 1 // commands that a client has out at once
	if rig.Trouble() {
		window = depth
	}
	sessions := make([]session, clients)
	var connections []*rig.Client
	for i := range sessions {
		client, err := open(driver.Address, fmt.Sprintf("c%02d", i))
		if err != nil {
			return 0, err
		}
		connections = append(connections, client)
	}
	var wait sync.WaitGroup
	for i := range sessions {
		wait.Add(1)
		go func() {
			defer wait.Done()
			sessions[i].play(record, connections[i], fmt.Sprintf("c%02d", i), window)
		}()
	}
	wait.Wait()
	time.Sleep(deadline*time.Millisecond + slack) // members end what they hold
	answered, refused, lost, ran := 0, 0, 0, 0
	for _, s := range sessions {
		refused += s.refused
		for i, id := range s.ids {
			switch {
			case s.answered[i]:
				answered++
			case s.written[i]:
				lost++
				record.Printf("%s was written whole and was never answered", id)
				if runs := members[0].Runs(id); runs > 0 {
					ran++
					record.Sayf("%s was forwarded and ran %d times at the primary, and its client got no answer", id, runs)
				}
			}
		}
	}
	record.Sayf("%d clients, %d commands each, %d out at once: %d answered (%d of them refused), %d written whole and never answered, %d of these ran",
		clients, depth, window, answered, refused, lost, ran)
	if lost > 0 {
		return rig.Broken, nil
	}
	if answered < clients*depth {
		return 0, fmt.Errorf("not all commands could be written")
	}
	return rig.Held, nil
}
