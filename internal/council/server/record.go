package server

import "encoding/json"

// record is the format of a record in the council's log.
type record struct {
	Machine    string          `json:"machine"`
	ProposalID string          `json:"by,omitempty"` // unique per proposal
	Data       json.RawMessage `json:"data"`
}

// StateMachine applies records of the council's log. Its methods are called sequentially, with
// the records in the same order at every voter, and must not call the Server.
type StateMachine interface {
	// Apply applies a committed record. It must be deterministic.
	Apply(data []byte)
	// Snapshot returns the state that results from all applied records.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
	// Lead is called when this voter acquires the leader lease in a new term. All records of
	// earlier leaders are applied, and their leases have ended.
	Lead()
}

// snapshot is the format of a snapshot. It keeps the records of state machines that this build does
// not know.
type snapshot struct {
	Machines map[string]json.RawMessage `json:"machines"`
	Voters   map[string]string          `json:"voters"` // addresses by voter ID
}
