package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// Log is a file of numbered records of which the newest may be written anew, with a few named values beside them. Records
// and values of one Save are on the disk once it has returned, either all of them or none.
type Log struct {
	db   *bbolt.DB
	path string
}

const logForm = 1

var (
	bucketLog     = []byte("log")
	bucketValues  = []byte("values")
	bucketLogForm = []byte("log form")
)

// OpenLog opens a log, or begins one where there is no file. A file that was cut off or changed is refused.
func OpenLog(path string) (l *Log, err error) {
	defer rescue(path, &err, debug.SetPanicOnFault(true))
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	l = &Log{db: db, path: path}
	if err := l.begin(); err != nil {
		db.Close()
		return nil, err
	}
	return l, nil
}

// begin checks the form of a log that has been written to, and gives a new one its own.
func (l *Log) begin() (err error) {
	defer rescue(l.path, &err, debug.SetPanicOnFault(true))
	return l.db.Update(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketLogForm); b != nil {
			if v := b.Get(keyForm); len(v) != 1 || v[0] != logForm {
				return fmt.Errorf("%s: its form is %v, and this program knows %d", l.path, v, logForm)
			}
			return nil
		}
		if tx.Bucket(bucketForm) != nil {
			return fmt.Errorf("%s: it is a journal of a coordinator, not a council's disk", l.path)
		}
		for _, name := range [][]byte{bucketLogForm, bucketLog, bucketValues} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketLogForm).Put(keyForm, []byte{logForm})
	})
}

// Update is a part of what is saved at once.
type Update struct {
	ReplaceFrom uint64   // records stand in place of all that were there from it on; 0 leaves them alone
	Records     [][]byte // from First on
	DropBefore  uint64   // records before it are forgotten
	Values      map[string][]byte
}

// Save writes parts one after another, and waits until all of them are on the disk.
func (l *Log) Save(parts ...Update) (err error) {
	defer rescue(l.path, &err, debug.SetPanicOnFault(true))
	if err := l.save(parts); err != nil {
		return fmt.Errorf("%s: %w", l.path, err)
	}
	// The file's two metas are written by turns: only now do both know of what was saved (Journal.append).
	return l.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketLogForm).Put(keyForm, []byte{logForm}) })
}

func (l *Log) save(parts []Update) error {
	return l.db.Update(func(tx *bbolt.Tx) error {
		for _, p := range parts {
			if err := p.put(tx.Bucket(bucketLog), tx.Bucket(bucketValues)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (p *Update) put(records, values *bbolt.Bucket) error {
	records.FillPercent = 1 // they come in order
	if p.ReplaceFrom > 0 {
		if err := cut(records, p.ReplaceFrom); err != nil {
			return err
		}
	}
	for i, r := range p.Records {
		if err := records.Put(number(p.ReplaceFrom+uint64(i)), summed(r)); err != nil {
			return err
		}
	}
	if err := forget(records, p.DropBefore); err != nil {
		return err
	}
	for name, v := range p.Values {
		if err := values.Put([]byte(name), summed(v)); err != nil {
			return err
		}
	}
	return nil
}

// cut takes all records away from a number on.
func cut(b *bbolt.Bucket, from uint64) error {
	for k, _ := b.Cursor().Last(); k != nil && binary.BigEndian.Uint64(k) >= from; k, _ = b.Cursor().Last() {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// forget takes all records away before a number.
func forget(b *bbolt.Bucket, before uint64) error {
	for k, _ := b.Cursor().First(); k != nil && binary.BigEndian.Uint64(k) < before; k, _ = b.Cursor().First() {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// summed is a value with its sum before it.
func summed(v []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(v)), v...)
}

var errChanged = errors.New("was changed")

func unsummed(v []byte) ([]byte, error) {
	if len(v) < sumBytes || binary.BigEndian.Uint64(v) != xxhash.Sum64(v[sumBytes:]) {
		return nil, errChanged
	}
	return append([]byte(nil), v[sumBytes:]...), nil
}

// Value is a named value, nil for one that was never written.
func (l *Log) Value(name string) (value []byte, err error) {
	defer rescue(l.path, &err, debug.SetPanicOnFault(true))
	err = l.db.View(func(tx *bbolt.Tx) error {
		v := tx.Bucket(bucketValues).Get([]byte(name))
		if v == nil {
			return nil
		}
		if value, err = unsummed(v); err != nil {
			return fmt.Errorf("%s: %s %w", l.path, name, err)
		}
		return nil
	})
	return value, err
}

// Each gives all records with their numbers, which follow one another.
func (l *Log) Each(do func(n uint64, record []byte) error) (err error) {
	defer rescue(l.path, &err, debug.SetPanicOnFault(true))
	return l.db.View(func(tx *bbolt.Tx) error {
		next := uint64(0)
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			if len(k) != 8 {
				return fmt.Errorf("%s: a record has no number", l.path)
			}
			n := binary.BigEndian.Uint64(k)
			if next != 0 && n != next {
				return fmt.Errorf("%s: record %d is missing", l.path, next)
			}
			next = n + 1
			record, err := unsummed(v)
			if err != nil {
				return fmt.Errorf("%s: record %d %w", l.path, n, err)
			}
			return do(n, record)
		})
	})
}

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }
