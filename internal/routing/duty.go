package routing

import "sedgespread/rules"

// Task is something the network has to do that no RPC asks for.
type Task interface{ duty() }

// ProbeMember asks for a probe of a member; ReportLook takes what it found.
type ProbeMember struct {
	Member  rules.MemberID
	Address string
}

// CloseIdleConnections asks to close the connections to a member that carry nothing.
type CloseIdleConnections struct{ Member rules.MemberID }

// ForgetMember asks to let go of all that is kept for a member: it will not be heard of under this number again.
type ForgetMember struct{ Member rules.MemberID }

// SendToPeers asks to send a message to all fellow drivers.
type SendToPeers struct{ Message []byte }

// WatchDiscovery asks to follow discovery's list, until it breaks off.
type WatchDiscovery struct{}

func (ProbeMember) duty()          {}
func (CloseIdleConnections) duty() {}
func (ForgetMember) duty()         {}
func (SendToPeers) duty()          {}
func (WatchDiscovery) duty()       {}
