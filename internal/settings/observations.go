package settings

import (
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

// EncodeObservations encodes observations for the peers, which identify a member by its key. Times are
// nanoseconds; positions are sent relative to epoch.
func EncodeObservations(observations []rules.PeerReport, keyOfMember func(rules.MemberID) uint32,
	epoch, now int64) (message []byte) {
	for _, observation := range observations {
		message = protocol.AppendObservation(message, protocol.Observation{Member: keyOfMember(observation.Member),
			Role: uint8(observation.Role), PositionMillis: toMillis(observation.Position - epoch),
			LatencyMillis: toMillis(observation.Latency), Failed: observation.Failed,
			MinUptimeSeconds: observation.Uptime / int64(time.Second)}, toMillis(now-epoch))
	}
	return message
}

// DecodeObservations decodes a peer's message that was received at now, and reports whether it is valid.
// Observations of unknown members are left out.
func DecodeObservations(message []byte, memberOfKey func(key uint32) (id rules.MemberID, known bool),
	epoch, now int64) (observations []rules.PeerReport, ok bool) {
	peerObservations, ok := protocol.ParseObservations(message, toMillis(now-epoch))
	for _, peerObservation := range peerObservations {
		if id, known := memberOfKey(peerObservation.Member); known {
			observations = append(observations, rules.PeerReport{Member: id, Latency: toNanos(peerObservation.LatencyMillis),
				Failed: peerObservation.Failed, Uptime: peerObservation.MinUptimeSeconds * int64(time.Second),
				Observation: rules.Observation{Role: rules.Role(peerObservation.Role),
					Position: epoch + toNanos(peerObservation.PositionMillis)}})
		}
	}
	return observations, ok
}

func toMillis(duration int64) int64 { return duration / int64(time.Millisecond) }
func toNanos(duration int64) int64  { return duration * int64(time.Millisecond) }
