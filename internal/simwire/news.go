package simwire

import (
	"encoding/base64"
	"encoding/binary"

	"sedgespread/rules"
)

const (
	messageBytes = 256
	newsBytes    = 12 // member, then four times the position in milliseconds plus the role
	milli        = int64(1_000_000)
)

func (d *driver) Tell(news []rules.News) {
	var content []byte
	for _, n := range news {
		content = binary.BigEndian.AppendUint32(content, uint32(n.Member))
		note := max(n.Position-d.epoch, 0)/milli*4 + int64(n.Role)
		content = binary.BigEndian.AppendUint64(content, uint64(note))
	}
	d.write("SIGNAL\twho=%d\taddressee=all\tcontent=%s", d.who, base64.StdEncoding.EncodeToString(content))
}

// whisper reads what a fellow driver told. A message that is not of our making is passed over.
func (d *driver) whisper(f *fields) {
	content, err := base64.StdEncoding.DecodeString(f.text("content"))
	if err != nil {
		f.wrong("content is not base64")
	}
	if f.err != nil || len(content)%newsBytes != 0 {
		return
	}
	var news []rules.News
	for ; len(content) > 0; content = content[newsBytes:] {
		note := binary.BigEndian.Uint64(content[4:])
		role, known := roles[int64(note%4)]
		if !known || note > 1<<50 {
			return
		}
		news = append(news, rules.News{Member: rules.MemberID(binary.BigEndian.Uint32(content)),
			Sighting: rules.Sighting{Role: role, Position: d.epoch + int64(note/4)*milli}})
	}
	d.Told(news)
}
