package simwire

import (
	"encoding/base64"

	"sedgespread/internal/briefing"
	"sedgespread/rules"
)

// SendReports sends the news to all fellow drivers, if there are any that can be told.
func (d *driver) SendReports(news []rules.PeerReport) {
	message := briefing.EncodeObservations(news, func(m rules.MemberID) uint32 { return uint32(m) }, d.epoch, d.w.now)
	if len(message) == 0 {
		return
	}
	d.begin("SIGNAL").words("addressee", "all").words("content", base64.StdEncoding.EncodeToString(message)).send()
}

// nothing stands on the wire for no bytes.
const nothing = "-"

// whisper reads what a fellow driver told. A message that is not of our making is passed over.
func (d *driver) whisper(f *briefing.Fields) {
	content := f.RequiredString("content")
	if content == nothing {
		content = ""
	}
	message, err := base64.StdEncoding.DecodeString(content)
	if err != nil {
		f.Fail("content is not base64")
	}
	if f.Err != nil {
		return
	}
	everyone := func(key uint32) (rules.MemberID, bool) { return rules.MemberID(key), true }
	if news, ok := briefing.DecodeObservations(message, everyone, d.epoch, d.w.now); ok {
		d.ReceiveReports(news)
	}
}
