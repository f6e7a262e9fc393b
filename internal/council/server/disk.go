package server

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sedgespread/internal/council"
	"sedgespread/internal/store"
)

// disk is the durable state of a voter.
type disk struct {
	log   logFile
	state council.DiskState
}

// logFile is implemented by store.Log, and by tests that simulate slow files.
type logFile interface {
	Save(updates ...store.Update) error
	Value(name string) ([]byte, error)
	Each(visit func(n uint64, record []byte) error) error
	Close() error
}

// Names of the values in the file.
const (
	keyHardState      = "hard"
	keySnapshot       = "snapshot"
	keyKnownPositions = "seen"
	keyPosition       = "reached"
	keyVoter          = "voter"
)

// openDisk opens a voter's disk. A new one is initialized with the initial voters, or left empty
// for a voter that joins. A disk belongs permanently to the voter that created it.
func openDisk(path string, id council.VoterID, initialVoters []council.VoterID) (d *disk, err error) {
	d = &disk{}
	if d.log, err = store.OpenLog(path); err != nil {
		return nil, err
	}
	if err := d.initialize(id, initialVoters); err != nil {
		d.log.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// initialize loads an existing disk after checking its owner, or writes the initial state of a new
// one.
func (d *disk) initialize(id council.VoterID, initialVoters []council.VoterID) error {
	var owner council.VoterID
	isInitialized, err := d.loadJSON(keyVoter, &owner)
	switch {
	case err != nil:
		return err
	case isInitialized && owner != id:
		return fmt.Errorf("disk belongs to voter %d, but this is voter %d", owner, id)
	case isInitialized:
		return d.load()
	}
	if len(initialVoters) > 0 {
		d.state = council.NewDiskState(initialVoters)
	}
	encoded, err := json.Marshal(id)
	if err != nil {
		return err
	}
	update, err := encodeWrite(&council.Write{HardState: d.state.HardState, Snapshot: d.state.Snapshot})
	if err != nil {
		return err
	}
	update.Values[keyVoter] = encoded
	return d.log.Save(update)
}

// loadJSON decodes a JSON value and reports whether it exists.
func (d *disk) loadJSON(name string, target any) (bool, error) {
	data, err := d.log.Value(name)
	if err != nil || data == nil {
		return false, err
	}
	return true, json.Unmarshal(data, target)
}

// loadProto decodes a protobuf value and reports whether it exists.
func (d *disk) loadProto(name string, target proto.Message) (bool, error) {
	data, err := d.log.Value(name)
	if err != nil || data == nil {
		return false, err
	}
	return true, proto.Unmarshal(data, target)
}

// load reads the state of the voter from the file.
func (d *disk) load() error {
	if _, err := d.loadJSON(keyKnownPositions, &d.state.KnownPositions); err != nil {
		return err
	}
	if _, err := d.loadJSON(keyPosition, &d.state.Position); err != nil {
		return err
	}
	hardState, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if found, err := d.loadProto(keyHardState, hardState); err != nil {
		return err
	} else if found {
		d.state.HardState = hardState
	}
	if found, err := d.loadProto(keySnapshot, snapshot); err != nil {
		return err
	} else if found {
		d.state.Snapshot = snapshot
	}
	return d.log.Each(func(index uint64, record []byte) error {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(record, entry); err != nil {
			return err
		}
		if entry.GetIndex() != index {
			return fmt.Errorf("record %d holds the entry with index %d", index, entry.GetIndex())
		}
		if index > d.state.Snapshot.GetMetadata().GetIndex() {
			d.state.Entries = append(d.state.Entries, entry)
		}
		return nil
	})
}

// write applies writes in one transaction and reports whether any of them was not empty.
func (d *disk) write(writes []*council.Write) (written bool, err error) {
	var updates []store.Update
	for _, w := range writes {
		if w.IsEmpty() {
			continue
		}
		update, err := encodeWrite(w)
		if err != nil {
			return false, err
		}
		updates = append(updates, update)
	}
	if len(updates) == 0 {
		return false, nil
	}
	return true, d.log.Save(updates...)
}

// encodeWrite converts a write to an update of the file.
func encodeWrite(w *council.Write) (update store.Update, err error) {
	update = store.Update{DropBefore: w.DropBefore, Values: map[string][]byte{}}
	fields := []struct {
		name  string
		isSet bool
		data  func() ([]byte, error)
	}{
		{keyHardState, w.HardState != nil, func() ([]byte, error) { return proto.Marshal(w.HardState) }},
		{keySnapshot, w.Snapshot != nil, func() ([]byte, error) { return proto.Marshal(w.Snapshot) }},
		{keyKnownPositions, w.KnownPositions != nil, func() ([]byte, error) { return json.Marshal(w.KnownPositions) }},
		{keyPosition, true, func() ([]byte, error) { return json.Marshal(w.Position) }},
	}
	for _, field := range fields {
		if !field.isSet {
			continue
		}
		if update.Values[field.name], err = field.data(); err != nil {
			return update, err
		}
	}
	if w.ReplacesLog {
		update.ReplaceFrom = w.DropBefore
	}
	for i, e := range w.Entries {
		if i == 0 {
			update.ReplaceFrom = e.GetIndex()
		}
		data, err := proto.Marshal(e)
		if err != nil {
			return update, err
		}
		update.Records = append(update.Records, data)
	}
	return update, nil
}

func (d *disk) close() error { return d.log.Close() }
