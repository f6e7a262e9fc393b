package chamber

import "encoding/json"

// record is what stands in the council's log: which machine it is for, and who waits for it.
type record struct {
	Machine    string          `json:"machine"`
	ProposalID string          `json:"by,omitempty"` // the proposal, new for each
	Data       json.RawMessage `json:"data"`
}

// StateMachine is one of the state machines on the council's log. Its methods are called one after another, at every voter in
// the same order. They must not call the chamber.
type StateMachine interface {
	// Apply takes a record in that the council has agreed on. What it makes of it must be the same at every voter.
	Apply(data []byte)
	// Snapshot is all that was applied, for Restore at a voter that is far behind.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Lead says that this voter acts for the council from now on: every record of those who did before it is applied, and
	// none of them acts any more.
	Lead()
}

// snapshot is all machines, by name. Those that this build does not know are kept as they came.
type snapshot struct {
	Machines map[string]json.RawMessage `json:"machines"`
	Voters   map[string]string          `json:"voters"` // addresses by number, of those that joined
}
