package protocol

import "encoding/binary"

// News is what one driver tells its fellows of a member: its role (0 unknown, 1 primary, 2 replica), its position
// and a recent answer time, both in milliseconds, or that its last answer was an error.
type News struct {
	Member   uint32
	Role     uint8
	Position int64
	Took     int64
	Failed   bool
}

const (
	MessageBytes   = 256 // of a message between drivers, at most
	newsBytes      = 8   // of one of the news
	NewsPerMessage = MessageBytes / newsBytes

	mostAge  = 30_000    // milliseconds between a position that is told and now: of the position 16 bits are sent
	mostTook = 1<<14 - 2 // milliseconds
	failed   = 1<<14 - 1 // in place of the answer time
	mostRole = 1 << 2    // roles there is room for
	newsMark = 1<<16 - 1 // of a position
	keyAt    = 0         // bytes 0 to 3: the member
	placeAt  = 4         // bytes 4 and 5: the position's low bits
	restAt   = 6         // bytes 6 and 7: four times the answer time plus the role
)

// AppendNews adds one of the news, told at a time in milliseconds. What is too far from then can't be told and is
// left out.
func AppendNews(to []byte, n News, now int64) []byte {
	if age := now - n.Position; age > mostAge || age < -mostAge {
		return to
	}
	to = binary.LittleEndian.AppendUint32(to, n.Member)
	to = binary.LittleEndian.AppendUint16(to, uint16(n.Position&newsMark))
	took := min(max(n.Took, 0), mostTook)
	if n.Failed {
		took = failed
	}
	return binary.LittleEndian.AppendUint16(to, uint16(took*mostRole+int64(n.Role%mostRole)))
}

// ParseNews reads a message heard at a time in milliseconds, and tells whether it is one of ours. Positions are the
// nearest to that time.
func ParseNews(content []byte, now int64) (news []News, ok bool) {
	if len(content) > MessageBytes || len(content)%newsBytes != 0 {
		return nil, false
	}
	for ; len(content) > 0; content = content[newsBytes:] {
		rest := binary.LittleEndian.Uint16(content[restAt:])
		n := News{Member: binary.LittleEndian.Uint32(content[keyAt:]), Role: uint8(rest % mostRole), Took: int64(rest / mostRole)}
		if n.Failed = n.Took == failed; n.Failed {
			n.Took = 0
		}
		n.Position = now - int64(int16(uint16(now&newsMark)-binary.LittleEndian.Uint16(content[placeAt:])))
		if n.Role == mostRole-1 {
			return nil, false
		}
		news = append(news, n)
	}
	return news, true
}
