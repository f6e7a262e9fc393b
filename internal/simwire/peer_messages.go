package simwire

import (
	"encoding/base64"

	"sedgespread/internal/settings"
	"sedgespread/rules"
)

// SendReports sends reports to all peers, unless there is nothing that can be sent.
func (d *driver) SendReports(reports []rules.PeerReport) {
	message := settings.EncodeObservations(reports, func(m rules.MemberID) uint32 { return uint32(m) }, d.epoch, d.conn.now)
	if len(message) == 0 {
		return
	}
	d.beginMessage("SIGNAL").textField("addressee", "all").textField("content", base64.StdEncoding.EncodeToString(message)).send()
}

// emptyContent represents an empty message on the wire.
const emptyContent = "-"

// handlePeerMessage applies the reports of a peer. Messages of an unknown format are ignored.
func (d *driver) handlePeerMessage(fields *settings.Fields) {
	content := fields.RequiredString("content")
	if content == emptyContent {
		content = ""
	}
	message, err := base64.StdEncoding.DecodeString(content)
	if err != nil {
		fields.Fail("content is not base64")
	}
	if fields.Err != nil {
		return
	}
	anyMember := func(key uint32) (rules.MemberID, bool) { return rules.MemberID(key), true }
	if reports, ok := settings.DecodeObservations(message, anyMember, d.epoch, d.conn.now); ok {
		d.ReceiveReports(reports)
	}
}
