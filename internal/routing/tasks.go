package routing

import "sedgespread/rules"

// Task is work for the network layer that does not belong to an RPC.
type Task interface{ task() }

// ProbeMember asks for a probe of a member. Its outcome goes to Router.ReportProbe.
type ProbeMember struct {
	Member  rules.MemberID
	Address string
}

// CloseIdleConnections asks to close the idle connections to a member.
type CloseIdleConnections struct{ Member rules.MemberID }

// ForgetMember asks to release everything kept for a member. Its number is not used again.
type ForgetMember struct{ Member rules.MemberID }

// SendToPeers asks to send a message to all peers.
type SendToPeers struct{ Message []byte }

// WatchDiscovery asks to watch discovery's list of members until the watch fails.
type WatchDiscovery struct{}

func (ProbeMember) task()          {}
func (CloseIdleConnections) task() {}
func (ForgetMember) task()         {}
func (SendToPeers) task()          {}
func (WatchDiscovery) task()       {}
