package routing

import (
	"github.com/sirupsen/logrus"

	"sedgespread/rules"
)

// trace writes, at debug level, what became of each request: when it was taken, why each of its attempts was allowed, why one was
// withheld, how each ended, and its final answer. Requests are named by the ids of their clients, members by this driver's numbers.
type trace struct {
	log     logrus.FieldLogger
	enabled bool // at debug level; what is dear to find out is found out only then
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

var actionNames = map[Action]string{ActionAttempt: "attempt", ActionServe: "served", ActionReject: "rejected", ActionAbort: "failed", ActionDrop: "client left"}

var proofNames = map[rules.Proof]string{rules.OK: "ok", rules.Started: "started", rules.NeverRan: "never ran", rules.MayHaveRun: "may have run"}

var roleNames = map[rules.Role]string{rules.RoleUnknown: "none", rules.RolePrimary: "primary", rules.RoleReplica: "replica"}
