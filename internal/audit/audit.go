// Package audit records which driver acted on which version, and when. A Trail is a driver's own
// hash-chained audit trail. A Collection holds the trails received from many drivers and finds
// activity under obsolete versions as well as gaps: times for which there is no record. The package
// does no I/O, reads no clock and starts no goroutines.
package audit

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"sedgespread/internal/versions"
)

// Effect classifies an RPC by what it does to data and whether it may be repeated.
type Effect int

const (
	Read          Effect = iota // changes nothing
	Idempotent                  // may be repeated
	Deduplicated                // the store deduplicates it by a token
	NonIdempotent               // must not be repeated
	effectCount
)

// Outcome is how an RPC ended for its client.
type Outcome int

const (
	Served Outcome = iota
	PushedBack
	Aborted
	ClientLeft // the client disconnected first
	outcomeCount
)

var (
	effectNames  = [...]string{"read", "idempotent", "tokened", "non-idempotent"}
	outcomeNames = [...]string{"served", "pushed back", "aborted", "left"}
)

func (e Effect) String() string  { return effectNames[e] }
func (o Outcome) String() string { return outcomeNames[o] }

// Counts counts RPCs by effect and outcome.
type Counts [effectCount][outcomeCount]uint64

// Total returns the number of RPCs.
func (c *Counts) Total() (n uint64) {
	for _, byOutcome := range c {
		for _, count := range byOutcome {
			n += count
		}
	}
	return n
}

// ByOutcome returns the number of RPCs with an outcome.
func (c *Counts) ByOutcome(outcome Outcome) (n uint64) {
	for _, byOutcome := range c {
		n += byOutcome[outcome]
	}
	return n
}

func (c *Counts) add(other *Counts) {
	for effect := range c {
		for outcome := range c[effect] {
			c[effect][outcome] += other[effect][outcome]
		}
	}
}

// Kind is the kind of an Entry.
type Kind string

const (
	KindStart Kind = "begins" // first entry of a trail
	KindEpoch Kind = "learns" // the driver learned of an epoch by an assignment
	// KindSpan: a version was active or had RPCs in flight between From and To. Counts has the RPCs
	// that ended in that time, Count is the number of those in flight at From.
	KindSpan    Kind = "spans"
	KindRPC     Kind = "single" // an RPC with an effect; its last attempt began at From
	KindDropped Kind = "drops"  // Count KindRPC entries of a version were dropped between From and To
	// KindObserved: the driver acts on a version of a resource that the council does not decide,
	// until the next such entry.
	KindObserved Kind = "has"
)

// Entry is an entry of a trail. Times are Unix nanoseconds by the driver's clock.
type Entry struct {
	Seq      uint64            `json:"seq"`
	Kind     Kind              `json:"kind"`
	At       int64             `json:"at"`
	Resource versions.Resource `json:"thing,omitempty"`
	Version  versions.Number   `json:"version,omitempty"`
	Epoch    versions.Epoch    `json:"epoch,omitempty"`
	From     int64             `json:"from,omitempty"`
	To       int64             `json:"to,omitempty"`
	Counts   *Counts           `json:"tally,omitempty"`
	RPC      string            `json:"rpc,omitempty"`
	Effect   Effect            `json:"effect,omitempty"`
	Outcome  Outcome           `json:"outcome,omitempty"`
	Count    uint64            `json:"count,omitempty"`
	Hash     string            `json:"hash"`
}

// computeHash returns the hash of the entry chained to that of the previous one.
func (e Entry) computeHash(previousHash string) string {
	e.Hash = previousHash
	encoded, err := json.Marshal(e)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(encoded)
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// Segment is a run of consecutive entries of an instance's trail. PreviousHash is the hash of the
// entry before the first, or the root hash of the trail.
type Segment struct {
	Instance     versions.Instance `json:"who"`
	Token        string            `json:"token"`
	PreviousHash string            `json:"before"`
	Entries      []Entry           `json:"entries"`
	OldestSeq    uint64            `json:"oldest,omitempty"` // oldest entry that the driver still has
	// ClockOffset converts times of the driver's clock to the receiver's; it is too large by the
	// transmission delay.
	ClockOffset        int64 `json:"offset,omitempty"`
	IsClockOffsetKnown bool  `json:"placed,omitempty"` // ClockOffset is set
}

// WithClockOffset returns the segment with its clock offset, if its last entry is a span, which is
// recorded just before sending.
func (s Segment) WithClockOffset(now int64) Segment {
	if n := len(s.Entries); n > 0 && s.Entries[n-1].Kind == KindSpan {
		s.ClockOffset, s.IsClockOffsetKnown = now-s.Entries[n-1].At, true
	}
	return s
}

// rootHash returns the hash that the first entry of a trail is chained to.
func rootHash(instance versions.Instance, token string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %q", instance.Name, instance.Start, token))
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// Verify checks the hash chain. It returns the number of valid entries and what is wrong with the
// next one, if any.
func (s *Segment) Verify() (validCount int, err error) {
	previousHash := s.PreviousHash
	for i, entry := range s.Entries {
		switch {
		case entry.Seq == 0 || i > 0 && entry.Seq != s.Entries[i-1].Seq+1:
			return i, fmt.Errorf("%s start %d: entry %d does not follow", s.Instance.Name, s.Instance.Start, entry.Seq)
		case entry.Seq == 1 && previousHash != rootHash(s.Instance, s.Token):
			return i, fmt.Errorf("%s start %d: the trail is not rooted in its start", s.Instance.Name, s.Instance.Start)
		case entry.computeHash(previousHash) != entry.Hash:
			return i, fmt.Errorf("%s start %d: entry %d was changed, or one before it was", s.Instance.Name,
				s.Instance.Start, entry.Seq)
		}
		previousHash = entry.Hash
	}
	return len(s.Entries), nil
}
