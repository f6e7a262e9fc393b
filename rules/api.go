package rules

// The ids of the trade, each a type of its own.
type (
	RPCID    uint32
	MemberID uint32
	GroupID  int64
	MethodID int // place in the list of methods given to New
)

// Need says what data a method needs.
type Need int

const (
	NeedAny     Need = iota // any member will do
	NeedBounded             // data no older than the method's bound
	NeedSession             // all that the session has written
	NeedFresh               // all written before the RPC came
	NeedPrimary             // a write
)

// Effect says what a repeat of an RPC would do.
type Effect int

const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// Scope names the members that drop repeats of a tokened RPC between them.
type Scope int

const (
	ScopeGroup Scope = iota
	ScopeZone
	ScopeAll
)

// Method is what a driver is told of one method. Times are nanoseconds.
type Method struct {
	Name         string
	Need         Need
	Bound        int64
	Effect       Effect
	Scope        Scope
	Window       int64 // how long a tokened RPC's repeats are dropped
	SoftDeadline int64
	Deadline     int64 // all that a client waits, over all its tries
	Utility      float64
	LateUtility  float64 // share of Utility after the soft deadline
}

// Fleet is this driver among its peers.
type Fleet struct {
	Drivers int
	News    int // observations that one message to them holds, 0 where they cannot be told anything
}

// News is what one driver tells its fellows of a member.
type News struct {
	Member MemberID
	Observation
	Took   int64 // a recent answer time, 0 for none
	Failed bool  // the last answer was an error
	Ran    int64 // it has run for so long at least, by a connection that answered, 0 where not known
}

// Store says how the members replicate and what they check.
type Store struct {
	Guarded   bool  // a member turns away a read for which it lags too far
	Carried   bool  // session reads carry their token
	SendDelay int64 // at most between the moment an attempt is allowed and its last byte, beyond what the rule on the age of data forgives
}

// Allowed is what the deployment lets a driver do.
type Allowed struct {
	Attempts int   // most attempts for one RPC
	Copies   bool  // two attempts of an RPC may be out at once
	Cancel   bool  // attempts may be cancelled
	Probes   bool  // members may be probed
	ComeBack int64 // longest time to come back that clients heed, 0 for none
}

// SlowStart says how members warm up, and when a cold one falls over.
type SlowStart struct {
	Share     float64 // of its capacity at its start, at least
	WarmAfter int64
	Multiple  float64 // sent more than this times what it can do for a while, it falls
}

// Notice says how the list reaches a driver and what it binds.
type Notice struct {
	Asked     bool  // the list comes only when asked for
	Agent     bool  // of an agent beside the driver, which counts as told once the agent has it
	Grace     int64 // until when something new may go to a member once told that it drains
	DrainOnly bool  // gone alone does not bind, only draining
}

// RPC is one client call. Left is the client's time for this try.
type RPC struct {
	ID      RPCID
	Method  MethodID
	Group   GroupID
	Session string
	Left    int64 // its client still waits so long
	Waited  int64 // and has waited so long before it was taken
	Repeat  bool  // the client has tried before
	Token   int64 // commit that a session read must see, 0 for none
	Floor   int64 // position that any member must have reached to get it, 0 for none
}

// State is a member's standing in the list.
type State int

const (
	Healthy State = iota
	Draining
	Gone
)

// Listing is one line of the list.
type Listing struct {
	Member  MemberID
	Group   GroupID
	Zone    string
	State   State
	Started int64 // on the driver's clock, 0 for long ago
	Primary bool
	Size    float64 // how much it can do beside others, more or less; 0 where the list does not say
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
	Role     Role
	Position int64 // on the driver's clock, 0 when not told
	Opened   int64 // when the connection that it came on was opened, 0 when not known
}

// Proof says what a result proves about the effect of an attempt.
type Proof int

const (
	OK Proof = iota
	Started
	NeverRan
	MayHaveRun
)

// Cause says why an attempt was not ok.
type Cause int

const (
	NoCause Cause = iota
	Full
	NoConnect
	Missed // not the primary, or too far behind
	Moot
	TimedOut
	Reset
	Errored
	Cancelled
)

// Result is how an attempt ended, or that its stream started. Final: the RPC itself has ended.
type Result struct {
	Proof Proof
	Cause Cause
	Took  int64
	Final bool
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
	PushBack(id RPCID, comeBack int64)
	Abort(id RPCID)
	CloseIdle(to MemberID) // the connections to it that carry nothing
	Forget(id MemberID)    // nothing is asked of it any more, unless the list names it again
	Probe(to MemberID, next func(ProbeResult))
	After(wait int64, next func())
	Watch()
	Tell(news []News)
	Log(line string)
}
