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
	t := trace{log: log}
	switch l := log.(type) {
	case *logrus.Logger:
		t.enabled = l.IsLevelEnabled(logrus.DebugLevel)
	case *logrus.Entry:
		t.enabled = l.Logger.IsLevelEnabled(logrus.DebugLevel)
	}
	return t
}

func (t *trace) printf(format string, args ...any) {
	if t.enabled {
		t.log.Debugf(format, args...)
	}
}

var actNames = map[Action]string{ActionAttempt: "attempt", ActionServe: "served", ActionReject: "rejected", ActionAbort: "failed", ActionDrop: "client left"}

var proofNames = map[rules.Outcome]string{rules.OK: "ok", rules.Started: "started", rules.NotExecuted: "never ran", rules.MayHaveExecuted: "may have run"}

var roleNames = map[rules.Role]string{rules.RoleUnknown: "none", rules.RolePrimary: "primary", rules.RoleReplica: "replica"}
