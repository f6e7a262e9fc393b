package protocol

import "encoding/binary"

// Observation is what one driver tells its fellows of a member: its role (0 unknown, 1 primary, 2 replica), its position
// and a recent answer time, both in milliseconds, or that its last answer was an error; and for how long the member
// has run at least, in seconds, as a connection that worked lately shows, 0 where none does.
type Observation struct {
	Member           uint32
	Role             uint8
	PositionMillis   int64
	LatencyMillis    int64
	Failed           bool
	MinUptimeSeconds int64
}

const (
	MaxMessageBytes        = 256 // of a message between drivers, at most
	newsBytes              = 8   // of one of the news
	ObservationsPerMessage = MaxMessageBytes / newsBytes

	// MaxPositionAgeMillis is how many milliseconds may lie between a position that is told and now: of the position 16 bits are sent, which mean another one
	// to whoever hears it over 32 s later, and 65 s later one that looks new.
	MaxPositionAgeMillis = 30_000

	keyAt   = 0 // bytes 0 to 3: the member
	placeAt = 4 // bytes 4 and 5: the position's low bits
	restAt  = 6 // bytes 6 and 7: role, answer time and seconds, from the low bits up

	roles    = 1 << 2
	tooks    = 1 << 9
	tookStep = 8         // milliseconds
	failed   = tooks - 1 // in place of the answer time
	mostRan  = 1<<5 - 1  // seconds
)

// AppendObservation adds one of the news, told at a time in milliseconds. What is too far from then can't be told and is
// left out.
func AppendObservation(to []byte, n Observation, now int64) []byte {
	if age := now - n.PositionMillis; age > MaxPositionAgeMillis || age < -MaxPositionAgeMillis {
		return to
	}
	took := (min(max(n.LatencyMillis, 0), (failed-1)*tookStep) + tookStep - 1) / tookStep
	if n.Failed {
		took = failed
	}
	to = binary.LittleEndian.AppendUint32(to, n.Member)
	to = binary.LittleEndian.AppendUint16(to, uint16(n.PositionMillis))
	ran := min(max(n.MinUptimeSeconds, 0), mostRan)
	return binary.LittleEndian.AppendUint16(to, uint16((ran*tooks+took)*roles+int64(n.Role%roles)))
}

// ParseObservations reads a message heard at a time in milliseconds, and tells whether it is one of ours. Positions are the
// nearest to that time.
func ParseObservations(content []byte, now int64) (news []Observation, ok bool) {
	if len(content) > MaxMessageBytes || len(content)%newsBytes != 0 {
		return nil, false
	}
	for ; len(content) > 0; content = content[newsBytes:] {
		rest := int64(binary.LittleEndian.Uint16(content[restAt:]))
		took := rest / roles % tooks
		n := Observation{Member: binary.LittleEndian.Uint32(content[keyAt:]), Role: uint8(rest % roles), Failed: took == failed,
			MinUptimeSeconds: rest / roles / tooks}
		if !n.Failed {
			n.LatencyMillis = took * tookStep
		}
		n.PositionMillis = now - int64(int16(uint16(now)-binary.LittleEndian.Uint16(content[placeAt:])))
		if n.Role == roles-1 {
			return nil, false
		}
		news = append(news, n)
	}
	return news, true
}
