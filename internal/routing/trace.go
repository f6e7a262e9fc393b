package routing

import (
	"github.com/sirupsen/logrus"

	"sedgespread/rules"
)

// trace logs the course of each RPC at debug level: its start, whether and why each attempt was allowed,
// how it ended, and the final answer. RPCs are identified by their clients' ids, members by number.
type trace struct {
	log     logrus.FieldLogger
	enabled bool // lets callers skip costly arguments if false
}

func newTrace(log logrus.FieldLogger) trace {
	tracer := trace{log: log}
	switch logger := log.(type) {
	case *logrus.Logger:
		tracer.enabled = logger.IsLevelEnabled(logrus.DebugLevel)
	case *logrus.Entry:
		tracer.enabled = logger.Logger.IsLevelEnabled(logrus.DebugLevel)
	}
	return tracer
}

func (t *trace) printf(format string, args ...any) {
	if t.enabled {
		t.log.Debugf(format, args...)
	}
}

var actionNames = map[Action]string{ActionAttempt: "attempt", ActionServe: "served", ActionReject: "rejected",
	ActionAbort: "failed", ActionDrop: "client left"}

var proofNames = map[rules.Outcome]string{rules.OK: "ok", rules.Started: "started", rules.NotExecuted: "never ran",
	rules.MayHaveExecuted: "may have run"}

var roleNames = map[rules.Role]string{rules.RoleUnknown: "none", rules.RolePrimary: "primary", rules.RoleReplica: "replica"}
