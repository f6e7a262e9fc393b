package versions

// Pacer limits the rate at which texts are sent, so that many drivers that reconnect at once don't
// overload the leader. A driver that has to wait gets a reservation and asks again at that time.
// Times are in nanoseconds.
type Pacer struct {
	rate         float64 // bytes per nanosecond
	burst        int64   // a reservation this near is granted now
	nextFree     int64   // earliest time of the next reservation
	reservations map[Instance]int64
}

// NewPacer returns a pacer with a rate and a burst in nanoseconds: reservations due within the
// burst are granted at once.
func NewPacer(bytesPerSecond float64, burst int64) *Pacer {
	return &Pacer{rate: bytesPerSecond / 1e9, burst: burst, reservations: map[Instance]int64{}}
}

// Reserve returns 0 if an instance may be sent this number of bytes now, or else how long to wait
// before asking again.
func (p *Pacer) Reserve(now int64, instance Instance, bytes int) (wait int64) {
	at, isReserved := p.reservations[instance]
	if !isReserved || at < now-p.expiry() {
		at = max(now, p.nextFree)
		p.nextFree = at + int64(float64(bytes)/p.rate)
		p.reservations[instance] = at
	}
	if at > now+p.burst {
		return at - now
	}
	delete(p.reservations, instance)
	return 0
}

// expiry is how long a reservation is kept after its time.
func (p *Pacer) expiry() int64 { return 10 * p.burst }

// RemoveExpired removes reservations that were not used.
func (p *Pacer) RemoveExpired(now int64) {
	for instance, at := range p.reservations {
		if at < now-p.expiry() {
			delete(p.reservations, instance)
		}
	}
}
