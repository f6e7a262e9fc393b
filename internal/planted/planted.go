//go:build planted

// Package planted plants the fault that a variable names.
package planted

import "os"

// Names of faults, as in a sound build.
const (
	LongLease        = "lease"
	IgnoreStragglers = "straggler"
	DropAuditEntries = "audit"
	CrashOnVersion   = "crash"
	AcceptOldDisk    = "old disk"
	RejectRPCs       = "harm"
)

var fault = os.Getenv("SEDGESPREAD_PLANTED")

// Active tells whether this build has a fault.
func Active(name string) bool { return name == fault }
