// Package store keeps records durably in bbolt files.
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
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Journal is an append-only file of records. Append is atomic, and its records are durable when it
// returns.
type Journal struct {
	db   *bbolt.DB
	path string
}

const (
	journalVersion = 1 // format version
	lockTimeout    = time.Second
	checksumBytes  = 8
	numberBytes    = 8 // of an encoded record number
)

var (
	bucketRecords  = []byte("records")
	bucketFormat   = []byte("form")
	keyVersion     = []byte("version")
	keyFirstRecord = []byte("first") // number of the first record, if older ones were trimmed
)

// Open opens a journal, or creates one if there is no file. It rejects a truncated or corrupted
// file, since that may lack records that others already rely on.
func Open(path string) (j *Journal, err error) {
	defer recoverCorruption(path, &err, debug.SetPanicOnFault(true))
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	j = &Journal{db: db, path: path}
	if err := j.initialize(); err != nil {
		db.Close()
		return nil, err
	}
	return j, nil
}

// openFile opens a file that is not truncated and not open in another process.
func openFile(path string) (*bbolt.DB, error) {
	err := checkSize(path)
	var db *bbolt.DB
	if err == nil {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	}
	if errors.Is(err, bbolterrors.ErrTimeout) {
		err = errors.New("file is open in another process")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// recoverCorruption converts a panic that bbolt raises on corrupted pages into an error. Call it in a
// defer statement; panicOnFault is the setting of debug.SetPanicOnFault to restore.
func recoverCorruption(path string, err *error, panicOnFault bool) {
	debug.SetPanicOnFault(panicOnFault)
	if r := recover(); r != nil {
		*err = fmt.Errorf("%s: the file is damaged: %v", path, r)
	}
}

// initialize checks the format version of an existing journal, and sets up a new one.
func (j *Journal) initialize() (err error) {
	defer recoverCorruption(j.path, &err, debug.SetPanicOnFault(true))
	err = j.db.Update(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketFormat); b != nil {
			if v := b.Get(keyVersion); len(v) != 1 || v[0] != journalVersion {
				return fmt.Errorf("format version %v is not supported, only %d", v, journalVersion)
			}
			return nil
		}
		b, err := tx.CreateBucket(bucketFormat)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketRecords); err != nil {
			return err
		}
		return b.Put(keyVersion, []byte{journalVersion})
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", j.path, err)
	}
	return err
}

// Append writes records and waits until they are durable.
func (j *Journal) Append(records ...[]byte) (err error) {
	if len(records) == 0 {
		return nil
	}
	defer recoverCorruption(j.path, &err, debug.SetPanicOnFault(true))
	if err := j.append(records); err != nil {
		return err
	}
	return j.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketFormat).Put(keyVersion, []byte{journalVersion}) })
}

// append writes records in one transaction. bbolt writes its two meta pages alternately, so Append
// adds a second transaction, after which both cover the records and the loss of either meta page
// loses none.
func (j *Journal) append(records [][]byte) error {
	return j.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketRecords)
		b.FillPercent = 1 // keys are appended in order
		for _, r := range records {
			n, err := b.NextSequence()
			if err != nil {
				return err
			}
			if err := b.Put(encodeNumber(n), addChecksum(r)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Replay calls visit with all records in order. It fails at a missing or corrupted record.
func (j *Journal) Replay(visit func(record []byte) error) (err error) {
	defer recoverCorruption(j.path, &err, debug.SetPanicOnFault(true))
	return j.db.View(func(tx *bbolt.Tx) error {
		b, count := tx.Bucket(bucketRecords), uint64(0)
		if first := tx.Bucket(bucketFormat).Get(keyFirstRecord); len(first) == numberBytes {
			count = binary.BigEndian.Uint64(first) - 1
		}
		err := b.ForEach(func(k, v []byte) error {
			count++
			if len(k) != numberBytes || binary.BigEndian.Uint64(k) != count {
				return fmt.Errorf("%s: record %d is missing", j.path, count)
			}
			record, err := stripChecksum(v)
			if err != nil {
				return fmt.Errorf("%s: record %d %w", j.path, count, err)
			}
			return visit(record)
		})
		if err == nil && count != b.Sequence() {
			err = fmt.Errorf("%s: last record is %d, but %d were written", j.path, count, b.Sequence())
		}
		return err
	})
}

// ReadAll returns all records of a journal, decoded from JSON.
func ReadAll[T any](j *Journal) (all []T, err error) {
	err = j.Replay(func(data []byte) error {
		var r T
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		all = append(all, r)
		return nil
	})
	return all, err
}

// TrimOldest deletes the oldest records so that at most keep remain.
func (j *Journal) TrimOldest(keep int) (err error) {
	defer recoverCorruption(j.path, &err, debug.SetPanicOnFault(true))
	return j.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketRecords)
		last := b.Sequence()
		if last <= uint64(keep) {
			return nil
		}
		first := last - uint64(keep) + 1
		if err := deleteBefore(b, first); err != nil {
			return err
		}
		return tx.Bucket(bucketFormat).Put(keyFirstRecord, encodeNumber(first))
	})
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }

// Layout of the first two pages of a bbolt file, its meta pages. The one with the higher
// transaction ID is current.
const (
	pageHeaderBytes     = 16
	metaBytes           = 64
	metaMagic           = 0xED0CDAED
	metaPageSizeOffset  = 8
	metaPageCountOffset = 40 // high-water mark of used pages
	metaTxIDOffset      = 48
	metaChecksumOffset  = 56
)

// checkSize returns an error if a file is shorter than its current meta page says. bbolt would map
// such a file, and the first access to a missing page would kill the process.
func checkSize(path string) error {
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
		return errors.New("file is empty; if nothing was ever written to it, remove it to create a new one")
	}
	pageSize := int64(os.Getpagesize())
	var newestTxID uint64
	newestPageCount := int64(0)
	for i := int64(0); i < 2; i++ {
		if txID, pageCount, metaPageSize, ok := readMeta(file, i*pageSize); ok && txID >= newestTxID {
			newestTxID, newestPageCount, pageSize = txID, pageCount, metaPageSize
		}
	}
	if newestPageCount == 0 || info.Size() < newestPageCount*pageSize {
		return fmt.Errorf("file is truncated: it has %d of %d bytes", info.Size(), newestPageCount*pageSize)
	}
	return nil
}

// readMeta reads the meta page at offset and reports whether it is valid.
func readMeta(file io.ReaderAt, offset int64) (txID uint64, pageCount, pageSize int64, ok bool) {
	var b [pageHeaderBytes + metaBytes]byte
	if _, err := file.ReadAt(b[:], offset); err != nil {
		return 0, 0, 0, false
	}
	meta, byteOrder := b[pageHeaderBytes:], binary.NativeEndian
	checksum := fnv.New64a()
	checksum.Write(meta[:metaChecksumOffset])
	if byteOrder.Uint32(meta) != metaMagic || byteOrder.Uint64(meta[metaChecksumOffset:]) != checksum.Sum64() {
		return 0, 0, 0, false
	}
	return byteOrder.Uint64(meta[metaTxIDOffset:]), int64(byteOrder.Uint64(meta[metaPageCountOffset:])), int64(byteOrder.Uint32(meta[metaPageSizeOffset:])), true
}
