//go:build !planted

// Package failpoint provides deliberate faults that the fault-injection trials must detect. A build with
// the tag "planted" activates the fault named by an environment variable; other builds have none.
package failpoint

// Fault names.
const (
	LongLease        = "lease"     // a driver holds its lease one and a half times as long as granted
	IgnoreStragglers = "straggler" // versions are closed without waiting for drivers that have not confirmed
	DropAuditEntries = "audit"     // every tenth single entry is missing from the audit trail
	CrashOnVersion   = "crash"     // a driver exits when it is about to act on a version
	AcceptOldDisk    = "old disk"  // a voter starts although its disk is out of date
	RejectRPCs       = "harm"      // every fourth RPC is rejected under any version but the first
)

// Active reports whether the named fault is active in this build.
func Active(string) bool { return false }
