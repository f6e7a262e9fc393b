package routing

import "sedgespread/rules"

// Duty is something the network has to do that no RPC asks for.
type Duty interface{ duty() }

// Look asks for a probe of a member; ReportLook takes what it found.
type Look struct {
	Member  rules.MemberID
	Address string
}

// Shed asks to close the connections to a member that carry nothing.
type Shed struct{ Member rules.MemberID }

// Forget asks to let go of all that is kept for a member: it will not be heard of under this number again.
type Forget struct{ Member rules.MemberID }

// Spread asks to send a message to all fellow drivers.
type Spread struct{ Message []byte }

// Follow asks to follow discovery's list, until it breaks off.
type Follow struct{}

func (Look) duty()   {}
func (Shed) duty()   {}
func (Forget) duty() {}
func (Spread) duty() {}
func (Follow) duty() {}
