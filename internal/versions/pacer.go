package versions

// Pacer spreads texts over time, so that many drivers that come back at once don't drown whoever tells them. Each is given
// a turn and asks again then. Times are nanoseconds.
type Pacer struct {
	rate  float64 // bytes a nanosecond
	burst int64   // turns so near are now
	free  int64   // from when on the next turn may be
	turns map[Instance]int64
}

// NewPacer lets so many bytes a second be told, and those be told at once that are due within a burst.
func NewPacer(bytesASecond float64, burst int64) *Pacer {
	return &Pacer{rate: bytesASecond / 1e9, burst: burst, turns: map[Instance]int64{}}
}

// Reserve tells whether a driver may be told so many bytes now, or after how long it should ask again.
func (p *Pacer) Reserve(now int64, who Instance, bytes int) (wait int64) {
	at, has := p.turns[who]
	if !has || at < now-p.late() {
		at = max(now, p.free)
		p.free = at + int64(float64(bytes)/p.rate)
		p.turns[who] = at
	}
	if at > now+p.burst {
		return at - now
	}
	delete(p.turns, who)
	return 0
}

// late is how long after its turn a driver may still come.
func (p *Pacer) late() int64 { return 10 * p.burst }

// RemoveExpired forgets turns that nobody came for.
func (p *Pacer) RemoveExpired(now int64) {
	for who, at := range p.turns {
		if at < now-p.late() {
			delete(p.turns, who)
		}
	}
}
