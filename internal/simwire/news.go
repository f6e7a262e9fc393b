package simwire

import (
	"encoding/base64"

	"sedgespread/internal/briefing"
	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

const (
	milli  = int64(1_000_000)
	second = 1000 * milli
)

// Tell sends the news to all fellow drivers.
func (d *driver) Tell(news []rules.News) {
	var content []byte
	for _, n := range news {
		content = protocol.AppendNews(content, protocol.News{Member: uint32(n.Member), Role: uint8(n.Role),
			Position: (n.Position - d.epoch) / milli, Took: n.Took / milli, Failed: n.Failed, Ran: n.Ran / second}, (d.w.now-d.epoch)/milli)
	}
	d.begin("SIGNAL").words("addressee", "all").words("content", base64.StdEncoding.EncodeToString(content)).send()
}

// whisper reads what a fellow driver told. A message that is not of our making is passed over.
func (d *driver) whisper(f *briefing.Parts) {
	content, err := base64.StdEncoding.DecodeString(f.Text("content"))
	if err != nil {
		f.Wrong("content is not base64")
	}
	if f.Err != nil {
		return
	}
	told, ok := protocol.ParseNews(content, (d.w.now-d.epoch)/milli)
	news := d.w.news[:0]
	for _, n := range told {
		news = append(news, rules.News{Member: rules.MemberID(n.Member), Took: n.Took * milli, Failed: n.Failed, Ran: n.Ran * second,
			Sighting: rules.Sighting{Role: rules.Role(n.Role), Position: d.epoch + n.Position*milli}})
	}
	if d.w.news = news; ok {
		d.Told(news)
	}
}
