//go:build !planted

// Package planted is for trials that have to show that they find what they look for: a build with the tag "planted" has the
// fault that a variable names. All other builds have none, and nothing of this is left in them.
package planted

// Names of faults.
const (
	LongLease        = "lease"     // a driver holds its lease half too long; a tenth is within the time that an answer may wait
	IgnoreStragglers = "straggler" // versions are closed without those that have not said so
	DropAuditEntries = "audit"     // every tenth single entry is left out of the trail
	CrashOnVersion   = "crash"     // a driver ends when it is to act on a version
	AcceptOldDisk    = "old disk"  // a voter whose disk is old begins all the same
	RejectRPCs       = "harm"      // every fourth RPC is pushed back under any version but the first
)

// Active tells whether this build has a fault.
func Active(string) bool { return false }
