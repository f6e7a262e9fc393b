// Package audit is the record of which driver acted on which version. A Trail is a driver's own: spans of versions with
// counts by effect and outcome, single entries for RPCs with effects near a change, and what it learned when, each chained
// to the one before by its hash. A Collection is the trails of many, as far as they were heard, and answers who acted on
// what, what acted on a version after it was closed, and what is not known; that is never filled by a guess. The package
// does no I/O, reads no clock and starts no goroutine.
package audit

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"sedgespread/internal/versions"
)

// Effect is what an RPC does to data.
type Effect int

const (
	Read          Effect = iota // nothing
	Idempotent                  // something that does no harm twice
	Deduplicated                // something that its store does once for a token
	NonIdempotent               // something that must not be done twice
	effects
)

// Outcome is how an RPC ended for its client.
type Outcome int

const (
	Served Outcome = iota
	PushedBack
	Aborted
	ClientLeft // the client had gone
	outcomes
)

var (
	effectNames  = [...]string{"read", "idempotent", "tokened", "non-idempotent"}
	outcomeNames = [...]string{"served", "pushed back", "aborted", "left"}
)

func (e Effect) String() string  { return effectNames[e] }
func (o Outcome) String() string { return outcomeNames[o] }

// Counts counts RPCs by effect and outcome.
type Counts [effects][outcomes]uint64

// Total is all of them.
func (t *Counts) Total() (n uint64) {
	for _, by := range t {
		for _, count := range by {
			n += count
		}
	}
	return n
}

// ByOutcome is how many ended in one way.
func (t *Counts) ByOutcome(o Outcome) (n uint64) {
	for _, by := range t {
		n += by[o]
	}
	return n
}

// add adds another.
func (t *Counts) add(more *Counts) {
	for e := range t {
		for o := range t[e] {
			t[e][o] += more[e][o]
		}
	}
}

// Kind says what an Entry is of.
type Kind string

const (
	KindStart    Kind = "begins" // the trail of a start
	KindEpoch    Kind = "learns" // an order: from here on the driver knows of its epoch
	KindSpan     Kind = "spans"  // it acted on a version, or might have, from From to To, and this is what came to an end meanwhile; Count were under way at From
	KindRPC      Kind = "single" // one RPC with an effect that had an attempt, the last of which began at From
	KindDropped  Kind = "drops"  // so many single entries of a version were not kept, from From to To
	KindObserved Kind = "has"    // it acts on a version of a thing that the council does not decide, until the next such entry
)

// Entry is one line of a trail. Times are its driver's clock, Unix time in nanoseconds.
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

// hashed is the entry's hash, which rests on all entries before it.
func (e Entry) hashed(before string) string {
	e.Hash = before
	text, err := json.Marshal(e)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(text)
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// Segment is some of a start's trail, in its order. Before is the hash of the entry before the first, or what the trail is
// rooted in.
type Segment struct {
	Instance     versions.Instance `json:"who"`
	Token        string            `json:"token"`
	PreviousHash string            `json:"before"`
	Entries      []Entry           `json:"entries"`
	OldestSeq    uint64            `json:"oldest,omitempty"` // entry that its driver still has
	// What is to be added to its times to have those of whoever heard it, too much by as long as it was on its way.
	ClockOffset        int64 `json:"offset,omitempty"`
	IsClockOffsetKnown bool  `json:"placed,omitempty"` // Offset is known
}

// WithClockOffset is the part with what its last entry says of its clock, where that was made just before it was told.
func (p Segment) WithClockOffset(now int64) Segment {
	if n := len(p.Entries); n > 0 && p.Entries[n-1].Kind == KindSpan {
		p.ClockOffset, p.IsClockOffsetKnown = now-p.Entries[n-1].At, true
	}
	return p
}

// root is what the first entry of a start's trail is chained to.
func root(who versions.Instance, token string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %q", who.Name, who.Start, token))
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// Verify checks a part's chain, and gives how many entries hold and what is wrong with the next, nil for nothing.
func (p *Segment) Verify() (holds int, err error) {
	before := p.PreviousHash
	for i, e := range p.Entries {
		switch {
		case e.Seq == 0 || i > 0 && e.Seq != p.Entries[i-1].Seq+1:
			return i, fmt.Errorf("%s start %d: entry %d does not follow", p.Instance.Name, p.Instance.Start, e.Seq)
		case e.Seq == 1 && before != root(p.Instance, p.Token):
			return i, fmt.Errorf("%s start %d: the trail is not rooted in its start", p.Instance.Name, p.Instance.Start)
		case e.hashed(before) != e.Hash:
			return i, fmt.Errorf("%s start %d: entry %d was changed, or one before it was", p.Instance.Name, p.Instance.Start, e.Seq)
		}
		before = e.Hash
	}
	return len(p.Entries), nil
}
