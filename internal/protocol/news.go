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
	observationBytes       = 8   // of one of the news
	ObservationsPerMessage = MaxMessageBytes / observationBytes

	// MaxPositionAgeMillis is how many milliseconds may lie between a position that is told and now: of the position 16 bits are sent, which mean another one
	// to whoever hears it over 32 s later, and 65 s later one that looks new.
	MaxPositionAgeMillis = 30_000

	memberOffset   = 0 // bytes 0 to 3: the member
	positionOffset = 4 // bytes 4 and 5: the position's low bits
	packedOffset   = 6 // bytes 6 and 7: role, answer time and seconds, from the low bits up

	roleValues        = 1 << 2
	latencyValues     = 1 << 9
	latencyStepMillis = 8                 // milliseconds
	failedLatency     = latencyValues - 1 // in place of the answer time
	maxUptimeSeconds  = 1<<5 - 1          // seconds
)

// AppendObservation adds one of the news, told at a time in milliseconds. What is too far from then can't be told and is
// left out.
func AppendObservation(dst []byte, o Observation, now int64) []byte {
	if age := now - o.PositionMillis; age > MaxPositionAgeMillis || age < -MaxPositionAgeMillis {
		return dst
	}
	latency := (min(max(o.LatencyMillis, 0), (failedLatency-1)*latencyStepMillis) + latencyStepMillis - 1) / latencyStepMillis
	if o.Failed {
		latency = failedLatency
	}
	dst = binary.LittleEndian.AppendUint32(dst, o.Member)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(o.PositionMillis))
	uptime := min(max(o.MinUptimeSeconds, 0), maxUptimeSeconds)
	return binary.LittleEndian.AppendUint16(dst, uint16((uptime*latencyValues+latency)*roleValues+int64(o.Role%roleValues)))
}

// ParseObservations reads a message heard at a time in milliseconds, and tells whether it is one of ours. Positions are the
// nearest to that time.
func ParseObservations(content []byte, now int64) (observations []Observation, ok bool) {
	if len(content) > MaxMessageBytes || len(content)%observationBytes != 0 {
		return nil, false
	}
	for ; len(content) > 0; content = content[observationBytes:] {
		packed := int64(binary.LittleEndian.Uint16(content[packedOffset:]))
		latency := packed / roleValues % latencyValues
		o := Observation{Member: binary.LittleEndian.Uint32(content[memberOffset:]), Role: uint8(packed % roleValues), Failed: latency == failedLatency,
			MinUptimeSeconds: packed / roleValues / latencyValues}
		if !o.Failed {
			o.LatencyMillis = latency * latencyStepMillis
		}
		o.PositionMillis = now - int64(int16(uint16(now)-binary.LittleEndian.Uint16(content[positionOffset:])))
		if o.Role == roleValues-1 {
			return nil, false
		}
		observations = append(observations, o)
	}
	return observations, true
}
