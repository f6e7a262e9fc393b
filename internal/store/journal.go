// Package store keeps what has to outlast a crash: records in the order in which they were written, in a bbolt file.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
)

// Journal is a file of records. A record is there once Append has returned, and either all of one Append's are or none.
type Journal struct {
	db   *bbolt.DB
	path string
}

const (
	form     = 1 // of what is written
	lockWait = time.Second
	sumBytes = 8
)

var (
	bucketRecords = []byte("records")
	bucketForm    = []byte("form")
	keyForm       = []byte("version")
	keyFirst      = []byte("first") // number of the first record that is kept, if any were dropped
)

// Open opens a journal, or begins one where there is no file. A file that was cut off or changed is refused: what is left
// of it may be older than what others have been told.
func Open(path string) (j *Journal, err error) {
	defer rescue(path, &err, debug.SetPanicOnFault(true))
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	j = &Journal{db: db, path: path}
	if err := j.begin(); err != nil {
		db.Close()
		return nil, err
	}
	return j, nil
}

// openFile opens a file that is whole and that no other process has open.
func openFile(path string) (*bbolt.DB, error) {
	err := whole(path)
	var db *bbolt.DB
	if err == nil {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
	}
	if errors.Is(err, bbolt.ErrTimeout) {
		err = errors.New("another process has it open")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// rescue makes an error of what the store below panics with when pages of the file are not what they should be. It is
// deferred with what faults says of its goroutine.
func rescue(path string, err *error, faults bool) {
	debug.SetPanicOnFault(faults)
	if r := recover(); r != nil {
		*err = fmt.Errorf("%s: the file is damaged: %v", path, r)
	}
}

// begin checks the form of a journal that has been written to, and gives a new one its own.
func (j *Journal) begin() (err error) {
	defer rescue(j.path, &err, debug.SetPanicOnFault(true))
	err = j.db.Update(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketForm); b != nil {
			if v := b.Get(keyForm); len(v) != 1 || v[0] != form {
				return fmt.Errorf("its form is %v, and this program knows %d", v, form)
			}
			return nil
		}
		b, err := tx.CreateBucket(bucketForm)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketRecords); err != nil {
			return err
		}
		return b.Put(keyForm, []byte{form})
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", j.path, err)
	}
	return err
}

// Append writes records and waits until they are on the disk.
func (j *Journal) Append(records ...[]byte) (err error) {
	if len(records) == 0 {
		return nil
	}
	defer rescue(j.path, &err, debug.SetPanicOnFault(true))
	if err := j.append(records); err != nil {
		return err
	}
	return j.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketForm).Put(keyForm, []byte{form}) })
}

// append writes records. The file has two metas that are written by turns: only after a second transaction do both know
// of the records, so that losing either loses none.
func (j *Journal) append(records [][]byte) error {
	return j.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketRecords)
		b.FillPercent = 1 // they come in order
		for _, r := range records {
			n, err := b.NextSequence()
			if err != nil {
				return err
			}
			if err := b.Put(number(n), summed(r)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Replay gives all records in their order. One that is missing or was changed ends it with an error.
func (j *Journal) Replay(each func(record []byte) error) (err error) {
	defer rescue(j.path, &err, debug.SetPanicOnFault(true))
	return j.db.View(func(tx *bbolt.Tx) error {
		b, count := tx.Bucket(bucketRecords), uint64(0)
		if first := tx.Bucket(bucketForm).Get(keyFirst); len(first) == 8 {
			count = binary.BigEndian.Uint64(first) - 1
		}
		err := b.ForEach(func(k, v []byte) error {
			count++
			if len(k) != 8 || binary.BigEndian.Uint64(k) != count {
				return fmt.Errorf("%s: record %d is missing", j.path, count)
			}
			record, err := unsummed(v)
			if err != nil {
				return fmt.Errorf("%s: record %d %w", j.path, count, err)
			}
			return each(record)
		})
		if err == nil && count != b.Sequence() {
			err = fmt.Errorf("%s: records up to %d, and %d were written", j.path, count, b.Sequence())
		}
		return err
	})
}

// ReadAll reads all records of a journal that were written as JSON, in their order.
func ReadAll[T any](j *Journal) (all []T, err error) {
	err = j.Replay(func(text []byte) error {
		var r T
		if err := json.Unmarshal(text, &r); err != nil {
			return err
		}
		all = append(all, r)
		return nil
	})
	return all, err
}

// TrimOldest forgets the oldest records, all but so many. What they said must not be needed any more.
func (j *Journal) TrimOldest(keep int) (err error) {
	defer rescue(j.path, &err, debug.SetPanicOnFault(true))
	return j.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketRecords)
		last := b.Sequence()
		if last <= uint64(keep) {
			return nil
		}
		first := last - uint64(keep) + 1
		if err := forget(b, first); err != nil {
			return err
		}
		return tx.Bucket(bucketForm).Put(keyFirst, number(first))
	})
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }

// The first two pages of a bbolt file are its metas, which by turns say how much of the file counts.
const (
	pageHead  = 16
	metaBytes = 64
	metaMagic = 0xED0CDAED
	metaSize  = 8  // where the size of a page stands in a meta
	metaPages = 40 // how many pages count
	metaTurn  = 48 // the newer one has more
	metaSum   = 56
)

// whole tells whether a file is as long as the newest of its metas says. bbolt maps a file that is not, and the first
// look at what is missing would end the process.
func whole(path string) error {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return errors.New("the file is empty: remove it to begin a new journal, if nothing was ever written to it")
	}
	size := int64(os.Getpagesize())
	var newest uint64
	pages := int64(0)
	for i := int64(0); i < 2; i++ {
		if turn, count, of, ok := meta(file, i*size); ok && turn >= newest {
			newest, pages, size = turn, count, of
		}
	}
	if pages == 0 || info.Size() < pages*size {
		return fmt.Errorf("the file was cut off: it has %d bytes of %d", info.Size(), pages*size)
	}
	return nil
}

// meta reads a meta, and tells whether it is one.
func meta(file io.ReaderAt, at int64) (turn uint64, pages, size int64, ok bool) {
	var b [pageHead + metaBytes]byte
	if _, err := file.ReadAt(b[:], at); err != nil {
		return 0, 0, 0, false
	}
	m, order := b[pageHead:], binary.NativeEndian
	sum := fnv.New64a()
	sum.Write(m[:metaSum])
	if order.Uint32(m) != metaMagic || order.Uint64(m[metaSum:]) != sum.Sum64() {
		return 0, 0, 0, false
	}
	return order.Uint64(m[metaTurn:]), int64(order.Uint64(m[metaPages:])), int64(order.Uint32(m[metaSize:])), true
}
