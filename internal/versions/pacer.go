package versions

// Pacer spreads texts over time, so that many drivers that come back at once don't drown whoever tells them. Each is given
// a turn and asks again then. Times are nanoseconds.
type Pacer struct {
	rate         float64 // bytes a nanosecond
	burst        int64   // turns so near are now
	nextFree     int64   // from when on the next turn may be
	reservations map[Instance]int64
}

// NewPacer lets so many bytes a second be told, and those be told at once that are due within a burst.
func NewPacer(bytesPerSecond float64, burst int64) *Pacer {
	return &Pacer{rate: bytesPerSecond / 1e9, burst: burst, reservations: map[Instance]int64{}}
}

// Reserve tells whether a driver may be told so many bytes now, or after how long it should ask again.
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

// expiry is how long after its turn a driver may still come.
func (p *Pacer) expiry() int64 { return 10 * p.burst }

// RemoveExpired forgets turns that nobody came for.
func (p *Pacer) RemoveExpired(now int64) {
	for instance, at := range p.reservations {
		if at < now-p.expiry() {
			delete(p.reservations, instance)
		}
	}
}
