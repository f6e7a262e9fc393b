package protocol

import "encoding/binary"

// Observation is what a driver tells its peers about a member.
type Observation struct {
	Member           uint32
	Role             uint8 // 0 unknown, 1 primary, 2 replica
	PositionMillis   int64
	LatencyMillis    int64 // of a recent answer
	Failed           bool  // the last answer was an error
	MinUptimeSeconds int64 // from the age of a connection that still works, 0 if there is none
}

// The format of a message between drivers, all integers little-endian.
const (
	// MaxMessageBytes is the maximum size of a message between drivers.
	MaxMessageBytes  = 256
	observationBytes = 8
	// ObservationsPerMessage is the number of observations that fit into a message.
	ObservationsPerMessage = MaxMessageBytes / observationBytes

	// MaxPositionAgeMillis limits the distance of a sent position from the sender's clock. Only the low
	// 16 bits are sent, which a receiver misreads if the position is over 32 s from its own clock.
	MaxPositionAgeMillis = 30_000

	memberOffset   = 0 // bytes 0 to 3: member
	positionOffset = 4 // bytes 4 and 5: low bits of the position
	packedOffset   = 6 // bytes 6 and 7, from the low bits up: role (2), latency (9), uptime (5)

	roleValues        = 1 << 2
	latencyValues     = 1 << 9
	latencyStepMillis = 8
	failedLatency     = latencyValues - 1 // sent instead of a latency
	maxUptimeSeconds  = 1<<5 - 1
)

// AppendObservation appends an encoded observation to dst, unless its position is too far from nowMillis
// to be sent.
func AppendObservation(dst []byte, o Observation, nowMillis int64) []byte {
	if age := nowMillis - o.PositionMillis; age > MaxPositionAgeMillis || age < -MaxPositionAgeMillis {
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

// ParseObservations parses a message received at nowMillis. Positions are decoded to the value nearest
// to that time. ok is false if the message is malformed.
func ParseObservations(content []byte, nowMillis int64) (observations []Observation, ok bool) {
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
		o.PositionMillis = nowMillis - int64(int16(uint16(nowMillis)-binary.LittleEndian.Uint16(content[positionOffset:])))
		if o.Role == roleValues-1 {
			return nil, false
		}
		observations = append(observations, o)
	}
	return observations, true
}
