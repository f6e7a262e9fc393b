//go:build planted

// Package failpoint activates the fault named by the environment variable SEDGESPREAD_PLANTED.
package failpoint

import "os"

// Fault names, as in builds without the tag.
const (
	LongLease        = "lease"
	IgnoreStragglers = "straggler"
	DropAuditEntries = "audit"
	CrashOnVersion   = "crash"
	AcceptOldDisk    = "old disk"
	RejectRPCs       = "harm"
)

var fault = os.Getenv("SEDGESPREAD_PLANTED")

// Active reports whether the named fault is active in this build.
func Active(name string) bool { return name == fault }
