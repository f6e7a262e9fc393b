package rules

// The ids of the trade, each a type of its own.
type (
	RPCID    uint32
	MemberID uint32
	GroupID  int64
	MethodID int // place in the list of methods given to New
)

// Consistency says what data a method needs.
type Consistency int

const (
	ConsistencyAny          Consistency = iota // any member will do
	ConsistencyBounded                         // data no older than the method's bound
	ConsistencySession                         // all that the session has written
	ConsistencyLinearizable                    // all written before the RPC came
	ConsistencyWrite                           // a write
)

// Effect says what a repeat of an RPC would do.
type Effect int

const (
	Idempotent Effect = iota
	IdempotentByToken
	NonIdempotent
)

// DedupScope names the members that drop repeats of a tokened RPC between them.
type DedupScope int

const (
	DedupInGroup DedupScope = iota
	DedupInZone
	DedupEverywhere
)

// Method is what a driver is told of one method. Times are nanoseconds.
type Method struct {
	Name         string
	Consistency  Consistency
	MaxStaleness int64
	Effect       Effect
	DedupScope   DedupScope
	DedupWindow  int64 // how long a tokened RPC's repeats are dropped
	SoftDeadline int64
	Deadline     int64 // all that a client waits, over all its tries
	Utility      float64
	LateUtility  float64 // share of Utility after the soft deadline
}

// Fleet is this driver among its peers.
type Fleet struct {
	Drivers           int
	ReportsPerMessage int // observations that one message to them holds, 0 where they cannot be told anything
}

// PeerReport is what one driver tells its fellows of a member.
type PeerReport struct {
	Member MemberID
	Observation
	Latency int64 // a recent answer time, 0 for none
	Failed  bool  // the last answer was an error
	Uptime  int64 // it has run for so long at least, by a connection that answered, 0 where not known
}

// Store says how the members replicate and what they check.
type Store struct {
	RejectsStaleReads   bool  // a member turns away a read for which it lags too far
	CarriesSessionToken bool  // session reads carry their token
	MaxSendDelay        int64 // at most between the moment an attempt is allowed and its last byte, beyond what the rule on the age of data forgives
}

// Policy is what the deployment lets a driver do.
type Policy struct {
	MaxAttempts   int   // most attempts for one RPC
	Hedging       bool  // two attempts of an RPC may be out at once
	Cancellation  bool  // attempts may be cancelled
	Probing       bool  // members may be probed
	MaxRetryAfter int64 // longest time to come back that clients heed, 0 for none
}

// SlowStart says how members warm up, and when a cold one falls over.
type SlowStart struct {
	InitialShare   float64 // of its capacity at its start, at least
	WarmUpTime     int64
	OverloadFactor float64 // sent more than this times what it can do for a while, it falls
}

// Discovery says how the list reaches a driver and what it binds.
type Discovery struct {
	OnRequest      bool  // the list comes only when asked for
	ViaAgent       bool  // of an agent beside the driver, which counts as told once the agent has it
	DrainGrace     int64 // until when something new may go to a member once told that it drains
	OnlyDrainBinds bool  // gone alone does not bind, only draining
}

// RPC is one client call. Left is the client's time for this try.
type RPC struct {
	ID           RPCID
	Method       MethodID
	Group        GroupID
	Session      string
	TimeLeft     int64 // its client still waits so long
	Waited       int64 // and has waited so long before it was taken
	IsRetry      bool  // the client has tried before
	SessionToken int64 // commit that a session read must see, 0 for none
	MinPosition  int64 // position that any member must have reached to get it, 0 for none
}

// MemberState is a member's standing in the list.
type MemberState int

const (
	Healthy MemberState = iota
	Draining
	Deregistered
)

// MemberEntry is one line of the list.
type MemberEntry struct {
	Member  MemberID
	Group   GroupID
	Zone    string
	State   MemberState
	Started int64 // on the driver's clock, 0 for long ago
	Primary bool
	Weight  float64 // how much it can do beside others, more or less; 0 where the list does not say
}

// Role of a member in its group.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Observation is what an answer shows of its member.
type Observation struct {
	Role        Role
	Position    int64 // on the driver's clock, 0 when not told
	ConnectedAt int64 // when the connection that it came on was opened, 0 when not known
}

// Outcome says what a result proves about the effect of an attempt.
type Outcome int

const (
	OK Outcome = iota
	Started
	NotExecuted
	MayHaveExecuted
)

// Cause says why an attempt was not ok.
type Cause int

const (
	NoCause Cause = iota
	Overloaded
	ConnectFailed
	Ineligible // not the primary, or too far behind
	NotSent
	TimedOut
	Reset
	ServerError
	Cancelled
)

// Result is how an attempt ended, or that its stream started. Final: the RPC itself has ended.
type Result struct {
	Outcome Outcome
	Cause   Cause
	Latency int64
	Final   bool
	Observation
}

// ProbeResult is what a probe found. Cause is NoCause when it was answered.
type ProbeResult struct {
	Cause       Cause
	Report      Observation // what its load report says, made at an unknown time before
	Observation             // what the answer itself states
}

// Host is what the module asks of whatever drives it. It keeps each closure and hands it the result.
type Host interface {
	Now() int64
	Attempt(id RPCID, to MemberID, within int64, next func(Result)) (number int)
	Cancel(id RPCID, number int)
	RejectWithRetryAfter(id RPCID, comeBack int64)
	Abort(id RPCID)
	CloseIdle(to MemberID) // the connections to it that carry nothing
	Forget(id MemberID)    // nothing is asked of it any more, unless the list names it again
	Probe(to MemberID, next func(ProbeResult))
	After(wait int64, next func())
	Watch()
	SendReports(news []PeerReport)
	Log(line string)
}
