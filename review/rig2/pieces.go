package rig2

import (
	"fmt"
	"time"
)

// Ready is ReadyForQuery.
const Ready = ready

// Status returns the messages by which a member tells its role and position.
func Status(role string) string {
	return parameter("node_role", role) + parameter("replay_position", fmt.Sprint(time.Now().UnixMilli()-5))
}

// StatusAt returns the messages by which a member tells its role and a position.
func StatusAt(role string, position int64) string {
	return parameter("node_role", role) + parameter("replay_position", fmt.Sprint(position))
}

// Fail returns an ErrorResponse with ReadyForQuery.
func Fail(state string) string { return failure(state, "no") + ready }

// RowFor returns the messages of a value.
func RowFor(value string, isRead bool) string {
	if isRead {
		return row(value, "SELECT 1")
	}
	return row(value, "INSERT 0 1")
}

// QueryMessage returns a query as a message.
func QueryMessage(text string) string { return message('Q', text+"\x00") }
