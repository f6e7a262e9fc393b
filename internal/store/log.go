package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// Log is a file of numbered records, whose tail can be overwritten, and of named values. Save is
// atomic, and its changes are durable when it returns.
type Log struct {
	db   *bbolt.DB
	path string
}

const logVersion = 1

var (
	bucketLog       = []byte("log")
	bucketValues    = []byte("values")
	bucketLogFormat = []byte("log form")
)

// OpenLog opens a log, or creates one if there is no file. It rejects a truncated or corrupted
// file.
func OpenLog(path string) (l *Log, err error) {
	defer recoverCorruption(path, &err, debug.SetPanicOnFault(true))
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	l = &Log{db: db, path: path}
	if err := l.initialize(); err != nil {
		db.Close()
		return nil, err
	}
	return l, nil
}

// initialize checks the format version of an existing log, and sets up a new one.
func (l *Log) initialize() (err error) {
	defer recoverCorruption(l.path, &err, debug.SetPanicOnFault(true))
	return l.db.Update(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketLogFormat); b != nil {
			if v := b.Get(keyVersion); len(v) != 1 || v[0] != logVersion {
				return fmt.Errorf("%s: format version %v is not supported, only %d", l.path, v, logVersion)
			}
			return nil
		}
		if tx.Bucket(bucketFormat) != nil {
			return fmt.Errorf("%s: file is a journal of a coordinator, not the disk of a council voter", l.path)
		}
		for _, name := range [][]byte{bucketLogFormat, bucketLog, bucketValues} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketLogFormat).Put(keyVersion, []byte{logVersion})
	})
}

// Update is a set of changes to a log. They are applied in the order of the fields.
type Update struct {
	ReplaceFrom uint64   // delete all records from this number on; 0 deletes none
	Records     [][]byte // new records, numbered from ReplaceFrom on
	DropBefore  uint64   // delete all records before this number
	Values      map[string][]byte
}

// Save applies updates in order in one transaction, and waits until they are durable.
func (l *Log) Save(updates ...Update) (err error) {
	defer recoverCorruption(l.path, &err, debug.SetPanicOnFault(true))
	if err := l.save(updates); err != nil {
		return fmt.Errorf("%s: %w", l.path, err)
	}
	// A second transaction makes both meta pages cover the update; see Journal.append.
	return l.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketLogFormat).Put(keyVersion, []byte{logVersion}) })
}

func (l *Log) save(updates []Update) error {
	return l.db.Update(func(tx *bbolt.Tx) error {
		for _, update := range updates {
			if err := update.apply(tx.Bucket(bucketLog), tx.Bucket(bucketValues)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (u *Update) apply(records, values *bbolt.Bucket) error {
	records.FillPercent = 1 // keys are appended in order
	if u.ReplaceFrom > 0 {
		if err := deleteFrom(records, u.ReplaceFrom); err != nil {
			return err
		}
	}
	for i, r := range u.Records {
		if err := records.Put(encodeNumber(u.ReplaceFrom+uint64(i)), addChecksum(r)); err != nil {
			return err
		}
	}
	if err := deleteBefore(records, u.DropBefore); err != nil {
		return err
	}
	for name, v := range u.Values {
		if err := values.Put([]byte(name), addChecksum(v)); err != nil {
			return err
		}
	}
	return nil
}

// deleteFrom deletes all records from a number on.
func deleteFrom(b *bbolt.Bucket, from uint64) error {
	for k, _ := b.Cursor().Last(); k != nil && binary.BigEndian.Uint64(k) >= from; k, _ = b.Cursor().Last() {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// deleteBefore deletes all records before a number.
func deleteBefore(b *bbolt.Bucket, before uint64) error {
	for k, _ := b.Cursor().First(); k != nil && binary.BigEndian.Uint64(k) < before; k, _ = b.Cursor().First() {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// addChecksum returns a value prefixed with its checksum.
func addChecksum(v []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(v)), v...)
}

var errChecksum = errors.New("has a wrong checksum")

// stripChecksum verifies the checksum and returns the value without it.
func stripChecksum(v []byte) ([]byte, error) {
	if len(v) < checksumBytes || binary.BigEndian.Uint64(v) != xxhash.Sum64(v[checksumBytes:]) {
		return nil, errChecksum
	}
	return append([]byte(nil), v[checksumBytes:]...), nil
}

// Value returns a named value, or nil if it was never written.
func (l *Log) Value(name string) (value []byte, err error) {
	defer recoverCorruption(l.path, &err, debug.SetPanicOnFault(true))
	err = l.db.View(func(tx *bbolt.Tx) error {
		v := tx.Bucket(bucketValues).Get([]byte(name))
		if v == nil {
			return nil
		}
		if value, err = stripChecksum(v); err != nil {
			return fmt.Errorf("%s: %s %w", l.path, name, err)
		}
		return nil
	})
	return value, err
}

// Each calls visit with all records in order. It fails at a missing or corrupted record.
func (l *Log) Each(visit func(n uint64, record []byte) error) (err error) {
	defer recoverCorruption(l.path, &err, debug.SetPanicOnFault(true))
	return l.db.View(func(tx *bbolt.Tx) error {
		next := uint64(0)
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			if len(k) != numberBytes {
				return fmt.Errorf("%s: record key is not a number", l.path)
			}
			n := binary.BigEndian.Uint64(k)
			if next != 0 && n != next {
				return fmt.Errorf("%s: record %d is missing", l.path, next)
			}
			next = n + 1
			record, err := stripChecksum(v)
			if err != nil {
				return fmt.Errorf("%s: record %d %w", l.path, n, err)
			}
			return visit(n, record)
		})
	})
}

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }
