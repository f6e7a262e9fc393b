// Case: one client sends many commands at once, each a write with a value of the size that the pages
// allow. Every one of them has to get its final answer.
package main

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"sedgespread/review/rig"
)

const (
	commands   = 16       // sent at once
	valueBytes = 64 << 10 // the most that the pages allow
	work       = 60 * time.Millisecond
	deadline   = 2000 // of each write, in milliseconds
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

func run(record *rig.Record) (int, error) {
	primary, err := rig.NewMember(record, "m1", true, work)
	if err != nil {
		return 0, err
	}
	replica, err := rig.NewMember(record, "m2", false, work)
	if err != nil {
		return 0, err
	}
	discovery, err := rig.NewDiscovery(record, primary, replica)
	if err != nil {
		return 0, err
	}
	limits := map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	driver, err := rig.StartDriver(record, "n1", discovery, discovery.List(), limits, rig.Settings())
	if err != nil {
		return 0, err
	}
	defer driver.Signal(syscall.SIGKILL)
	if err := driver.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	client, err := rig.Connect(driver.Address)
	if err != nil {
		return 0, err
	}
	if a, err := client.Ask(rig.Write("first", "write", deadline, 16)); err != nil || a.Code != "" {
		return 0, fmt.Errorf("a single small write got %v, %v", a, err)
	}
	window := 1 // commands out at once
	if rig.Trouble() {
		window = commands
	}
	written := make([]time.Time, commands) // when the last byte of each was written
	answered := make(chan int, commands)
	writerDone := make(chan struct{})
	turns := make(chan struct{}, commands)
	for range window {
		turns <- struct{}{}
	}
	stop := make(chan struct{})
	go func() {
		defer close(writerDone)
		for i := range commands {
			select {
			case <-turns:
			case <-stop:
				return
			}
			if _, err := io.WriteString(client, rig.Query(rig.Write(fmt.Sprintf("w%02d", i), "write", deadline, valueBytes))); err != nil {
				record.Printf("client could not write w%02d: %v", i, err)
				return
			}
			written[i] = time.Now()
			record.Printf("client wrote w%02d", i)
		}
	}()
	client.SetReadDeadline(time.Now().Add(commands * (deadline*time.Millisecond + slack)))
	count := 0
	for ; count < commands; count++ {
		a, err := client.ReadAnswer()
		if err != nil {
			record.Printf("client waits for w%02d and reads: %v", count, err)
			break
		}
		record.Printf("client got the answer to w%02d: %v", count, a)
		answered <- count
		turns <- struct{}{}
	}
	close(stop)
	client.Close()
	<-writerDone
	time.Sleep(deadline*time.Millisecond + slack) // members end what they hold
	lost, ran := 0, 0
	for i := count; i < commands; i++ {
		id := fmt.Sprintf("w%02d", i)
		if runs := primary.Runs(id); runs > 0 {
			ran++
			record.Sayf("%s was forwarded and ran %d times at the primary, and its client got no answer", id, runs)
		}
		if !written[i].IsZero() {
			lost++
			record.Printf("%s was written whole to the connection and was never answered", id)
		}
	}
	record.Sayf("%d commands, %d out at once: %d answered, %d written whole and never answered, %d of these ran", commands, window, count, lost, ran)
	if lost > 0 {
		return rig.Broken, nil
	}
	if count < commands {
		return 0, fmt.Errorf("the client could not write all commands")
	}
	return rig.Held, nil
}
