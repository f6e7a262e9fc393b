package chamber

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sedgespread/internal/council"
	"sedgespread/internal/store"
)

// disk is a voter's part of the council's log, on a file.
type disk struct {
	log  keeper
	kept council.DiskState
}

// keeper is the file; that of package store, but in tests of slow ones.
type keeper interface {
	Save(parts ...store.Update) error
	Value(name string) ([]byte, error)
	Each(do func(n uint64, record []byte) error) error
	Close() error
}

// Names of what the file holds beside the entries.
const (
	valueHard     = "hard"
	valueSnapshot = "snapshot"
	valueSeen     = "seen"
	valueReached  = "reached"
	valueVoter    = "voter"
)

// openDisk opens a voter's disk. A new one is founded with the voters that the council begins with, or left empty for one
// that joins. A disk is one voter's for good.
func openDisk(path string, id council.VoterID, founders []council.VoterID) (d *disk, err error) {
	d = &disk{}
	if d.log, err = store.OpenLog(path); err != nil {
		return nil, err
	}
	if err := d.begin(id, founders); err != nil {
		d.log.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

func (d *disk) begin(id council.VoterID, founders []council.VoterID) error {
	var owner council.VoterID
	known, err := d.value(valueVoter, &owner)
	switch {
	case err != nil:
		return err
	case known && owner != id:
		return fmt.Errorf("it is the disk of voter %d, and this is voter %d", owner, id)
	case known:
		return d.read()
	}
	if len(founders) > 0 {
		d.kept = council.NewDiskState(founders)
	}
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	p, err := part(&council.Write{HardState: d.kept.HardState, Snapshot: d.kept.Snapshot})
	if err != nil {
		return err
	}
	p.Values[valueVoter] = text
	return d.log.Save(p)
}

// value reads a value as JSON, and tells whether there is one.
func (d *disk) value(name string, into any) (bool, error) {
	text, err := d.log.Value(name)
	if err != nil || text == nil {
		return false, err
	}
	return true, json.Unmarshal(text, into)
}

// message reads a value as a message, and tells whether there is one.
func (d *disk) message(name string, into proto.Message) (bool, error) {
	text, err := d.log.Value(name)
	if err != nil || text == nil {
		return false, err
	}
	return true, proto.Unmarshal(text, into)
}

func (d *disk) read() error {
	if _, err := d.value(valueSeen, &d.kept.KnownPositions); err != nil {
		return err
	}
	if _, err := d.value(valueReached, &d.kept.Position); err != nil {
		return err
	}
	hard, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if known, err := d.message(valueHard, hard); err != nil {
		return err
	} else if known {
		d.kept.HardState = hard
	}
	if known, err := d.message(valueSnapshot, snapshot); err != nil {
		return err
	} else if known {
		d.kept.Snapshot = snapshot
	}
	return d.log.Each(func(n uint64, record []byte) error {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(record, e); err != nil {
			return err
		}
		if e.GetIndex() != n {
			return fmt.Errorf("record %d says that it is %d", n, e.GetIndex())
		}
		if n > d.kept.Snapshot.GetMetadata().GetIndex() {
			d.kept.Entries = append(d.kept.Entries, e)
		}
		return nil
	})
}

// write writes down what a seat asks for, all of it at once, and tells whether there was anything to write.
func (d *disk) write(writes []*council.Write) (any bool, err error) {
	var parts []store.Update
	for _, w := range writes {
		if w.IsEmpty() {
			continue
		}
		p, err := part(w)
		if err != nil {
			return false, err
		}
		parts = append(parts, p)
	}
	if len(parts) == 0 {
		return false, nil
	}
	return true, d.log.Save(parts...)
}

// part is a write in the form of the file.
func part(w *council.Write) (p store.Update, err error) {
	p = store.Update{DropBefore: w.DropBefore, Values: map[string][]byte{}}
	values := []struct {
		name  string
		given bool
		text  func() ([]byte, error)
	}{
		{valueHard, w.HardState != nil, func() ([]byte, error) { return proto.Marshal(w.HardState) }},
		{valueSnapshot, w.Snapshot != nil, func() ([]byte, error) { return proto.Marshal(w.Snapshot) }},
		{valueSeen, w.KnownPositions != nil, func() ([]byte, error) { return json.Marshal(w.KnownPositions) }},
		{valueReached, true, func() ([]byte, error) { return json.Marshal(w.Position) }},
	}
	for _, v := range values {
		if !v.given {
			continue
		}
		if p.Values[v.name], err = v.text(); err != nil {
			return p, err
		}
	}
	if w.ReplacesLog {
		p.ReplaceFrom = w.DropBefore
	}
	for i, e := range w.Entries {
		if i == 0 {
			p.ReplaceFrom = e.GetIndex()
		}
		text, err := proto.Marshal(e)
		if err != nil {
			return p, err
		}
		p.Records = append(p.Records, text)
	}
	return p, nil
}

func (d *disk) close() error { return d.log.Close() }
