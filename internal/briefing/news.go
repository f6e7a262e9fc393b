package briefing

import (
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

// EncodeObservations is what the fellow drivers are sent for the module's news, at a time. They know a member by its key, and
// positions count from epoch.
func EncodeObservations(news []rules.PeerReport, key func(rules.MemberID) uint32, epoch, now int64) (message []byte) {
	for _, n := range news {
		message = protocol.AppendObservation(message, protocol.Observation{Member: key(n.Member), Role: uint8(n.Role),
			PositionMillis: millis(n.Position - epoch), LatencyMillis: millis(n.Latency), Failed: n.Failed,
			MinUptimeSeconds: n.Uptime / int64(time.Second)}, millis(now-epoch))
	}
	return message
}

// DecodeObservations reads what a fellow driver sent, heard at a time, and tells whether it is a driver's. What it says of members
// that are not known here is left out.
func DecodeObservations(message []byte, member func(key uint32) (id rules.MemberID, known bool), epoch, now int64) (news []rules.PeerReport, ok bool) {
	told, ok := protocol.ParseObservations(message, millis(now-epoch))
	for _, n := range told {
		if id, known := member(n.Member); known {
			news = append(news, rules.PeerReport{Member: id, Latency: nanos(n.LatencyMillis), Failed: n.Failed, Uptime: n.MinUptimeSeconds * int64(time.Second),
				Observation: rules.Observation{Role: rules.Role(n.Role), Position: epoch + nanos(n.PositionMillis)}})
		}
	}
	return news, ok
}

func millis(span int64) int64 { return span / int64(time.Millisecond) }
func nanos(span int64) int64  { return span * int64(time.Millisecond) }
