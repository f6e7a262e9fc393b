package protocol

import (
	"encoding/binary"
	"math"
)

// News is what one driver tells its fellows of a member: its role (0 unknown, 1 primary, 2 replica), its position
// and a recent answer time, both in milliseconds.
type News struct {
	Member   uint64
	Role     uint8
	Position int64
	Took     int64
}

const (
	MessageBytes   = 256 // of a message between drivers, at most
	newsBytes      = 20  // of one of the news, at most
	NewsPerMessage = MessageBytes / newsBytes

	// MostMember is the greatest member number that leaves room for the rest.
	MostMember = 1<<49 - 1
	mostNote   = 1 << 50
)

// AppendNews adds one of the news: the member, four times the position plus the role, and the answer time.
func AppendNews(to []byte, n News) []byte {
	to = binary.AppendUvarint(to, min(n.Member, MostMember))
	to = binary.AppendUvarint(to, uint64(min(max(n.Position, 0), mostNote/4-1))*4+uint64(n.Role))
	return binary.AppendUvarint(to, uint64(min(max(n.Took, 0), math.MaxUint32)))
}

// ParseNews reads a message, and tells whether it is one of ours.
func ParseNews(content []byte) (news []News, ok bool) {
	if len(content) > MessageBytes {
		return nil, false
	}
	for len(content) > 0 {
		var parts [3]uint64
		for i := range parts {
			part, n := binary.Uvarint(content)
			if n <= 0 {
				return nil, false
			}
			parts[i], content = part, content[n:]
		}
		if parts[0] > MostMember || parts[1]%4 == 3 || parts[1] > mostNote || parts[2] > math.MaxUint32 {
			return nil, false
		}
		news = append(news, News{Member: parts[0], Role: uint8(parts[1] % 4), Position: int64(parts[1] / 4),
			Took: int64(parts[2])})
	}
	return news, true
}
