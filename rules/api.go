package rules

type (
	// RPCID identifies an RPC of one driver.
	RPCID uint32
	// MemberID identifies a member.
	MemberID uint32
	// GroupID identifies a group of members that replicate the same data.
	GroupID int64
	// MethodID is an index into the methods passed to New.
	MethodID int
)

// Consistency says what data a method requires.
type Consistency int

const (
	ConsistencyAny          Consistency = iota // data of any age
	ConsistencyBounded                         // data no older than the method's maximum staleness
	ConsistencySession                         // all that the session has written
	ConsistencyLinearizable                    // all that was written before the RPC arrived
	ConsistencyWrite                           // served by the primary only
)

// Effect says whether an RPC may be executed more than once.
type Effect int

const (
	Idempotent        Effect = iota
	IdempotentByToken        // members drop duplicates by a token, within DedupScope and DedupWindow
	NonIdempotent
)

// DedupScope says which members recognize each other's duplicates by token.
type DedupScope int

const (
	DedupInGroup DedupScope = iota
	DedupInZone
	DedupEverywhere
)

// Method describes one method. Times are in nanoseconds.
type Method struct {
	Name         string
	Consistency  Consistency
	MaxStaleness int64
	Effect       Effect
	DedupScope   DedupScope
	DedupWindow  int64 // how long duplicates are recognized
	SoftDeadline int64
	Deadline     int64 // the client's total time, retries included
	Utility      float64
	LateUtility  float64 // share of Utility that remains after the soft deadline
}

// Fleet describes the drivers of the deployment.
type Fleet struct {
	Drivers           int
	ReportsPerMessage int // most reports in one message to peers, 0 without messages
}

// PeerReport is what a driver tells its peers about a member.
type PeerReport struct {
	Member MemberID
	Observation
	Latency int64 // a recent latency, 0 if none
	Failed  bool  // the last answer was an error
	Uptime  int64 // time for which it has run at least, by the age of its connection; 0 if unknown
}

// Store describes how the members replicate and what they check.
type Store struct {
	RejectsStaleReads   bool  // members reject reads for which they are too stale
	CarriesSessionToken bool  // session reads carry their token
	MaxSendDelay        int64 // longest time from AttemptAllowed to the last byte, beyond a tolerance
}

// Policy is what the deployment permits a driver to do.
type Policy struct {
	MaxAttempts   int   // per RPC
	Hedging       bool  // two attempts of an RPC may be in flight at once
	Cancellation  bool  // attempts may be cancelled
	Probing       bool  // members may be probed
	MaxRetryAfter int64 // longest retry delay that clients honour, 0 if none
}

// SlowStart describes how members warm up after a start.
type SlowStart struct {
	InitialShare   float64 // least share of its capacity that a member has at its start
	WarmUpTime     int64
	OverloadFactor float64 // a cold member fails under a sustained load above this multiple of its capacity
}

// Discovery describes how membership reaches a driver and which of its states are binding.
type Discovery struct {
	OnRequest      bool  // membership is delivered only to a watch
	ViaAgent       bool  // discovery counts the driver as informed once its local agent is
	DrainGrace     int64 // time after the notice of a drain during which a member may still get new attempts
	OnlyDrainBinds bool  // deregistered members may still get attempts
}

// RPC is one client call.
type RPC struct {
	ID           RPCID
	Method       MethodID
	Group        GroupID
	Session      string
	TimeLeft     int64 // remaining time of the client for this try
	Waited       int64 // time that the client has waited before Submit
	IsRetry      bool  // the client has tried before
	SessionToken int64 // commit that a session read must see, 0 if none
	MinPosition  int64 // position that a member must have reached, 0 if none
}

// MemberState is a member's lifecycle state in discovery.
type MemberState int

const (
	Healthy MemberState = iota
	Draining
	Deregistered
)

// MemberEntry is what discovery says of one member.
type MemberEntry struct {
	Member  MemberID
	Group   GroupID
	Zone    string
	State   MemberState
	Started int64 // when the member started, 0 if long ago
	Primary bool
	Weight  float64 // capacity relative to other members, 0 if unknown
}

// Role is the role of a member in its group.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Observation is what an answer shows of its member.
type Observation struct {
	Role        Role
	Position    int64 // log position as a time, 0 if not stated
	ConnectedAt int64 // when the connection of the answer was opened, 0 if unknown
}

// Outcome says whether an attempt was executed.
type Outcome int

const (
	OK Outcome = iota
	Started
	NotExecuted
	MayHaveExecuted
)

// Cause says why an attempt failed.
type Cause int

const (
	NoCause Cause = iota
	Overloaded
	ConnectFailed
	Ineligible // not the primary, or too stale
	NotSent
	TimedOut
	Reset
	ServerError
	Cancelled
)

// Result is how an attempt ended, or that its response started to stream. Final says that the RPC
// itself has ended.
type Result struct {
	Outcome Outcome
	Cause   Cause
	Latency int64
	Final   bool
	Observation
}

// ProbeResult is the result of a probe. Cause is NoCause if it was answered.
type ProbeResult struct {
	Cause       Cause
	Report      Observation // from the load report, generated at an unknown earlier time
	Observation             // from the answer itself
}

// Host performs the actions that a Driver decides on. It keeps each callback and calls it with the
// result.
type Host interface {
	Now() int64
	Attempt(id RPCID, to MemberID, within int64, next func(Result)) (number int)
	Cancel(id RPCID, number int)
	RejectWithRetryAfter(id RPCID, retryAfter int64)
	Abort(id RPCID)
	CloseIdle(to MemberID) // closes the idle connections to the member
	Forget(id MemberID)    // the member is not used any more, unless discovery lists it again
	Probe(to MemberID, next func(ProbeResult))
	After(wait int64, next func())
	Watch() // starts a watch of the membership
	SendReports(reports []PeerReport)
	Log(line string)
}
