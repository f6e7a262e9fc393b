package simwire

import (
	"encoding/base64"
	"encoding/binary"
	"math"

	"sedgespread/rules"
)

const (
	messageBytes = 256
	newsBytes    = 2*binary.MaxVarintLen32 + binary.MaxVarintLen64 // at the most
	milli        = int64(1_000_000)
)

// Tell writes, for each of the news, the member, four times the position in milliseconds plus the role, and the
// answer time in milliseconds.
func (d *driver) Tell(news []rules.News) {
	var content []byte
	for _, n := range news {
		content = binary.AppendUvarint(content, uint64(n.Member))
		note := max(n.Position-d.epoch, 0)/milli*4 + int64(n.Role)
		content = binary.AppendUvarint(content, uint64(note))
		content = binary.AppendUvarint(content, uint64(min(max(n.Took, 0)/milli, math.MaxUint32)))
	}
	d.begin("SIGNAL").words("addressee", "all").words("content", base64.StdEncoding.EncodeToString(content)).send()
}

// whisper reads what a fellow driver told. A message that is not of our making is passed over.
func (d *driver) whisper(f *fields) {
	content, err := base64.StdEncoding.DecodeString(f.text("content"))
	if err != nil {
		f.wrong("content is not base64")
	}
	if f.err != nil {
		return
	}
	news := d.w.news[:0]
	for len(content) > 0 {
		id, n := binary.Uvarint(content)
		note, k := binary.Uvarint(content[max(n, 0):])
		took, t := binary.Uvarint(content[max(n, 0)+max(k, 0):])
		role, known := roles[int64(note%4)]
		if n <= 0 || k <= 0 || t <= 0 || !known || id > math.MaxUint32 || note > 1<<50 || took > math.MaxUint32 {
			return
		}
		news = append(news, rules.News{Member: rules.MemberID(id),
			Sighting: rules.Sighting{Role: role, Position: d.epoch + int64(note/4)*milli}, Took: int64(took) * milli})
		content = content[n+k+t:]
	}
	d.w.news = news
	d.Told(news)
}
