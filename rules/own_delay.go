package rules

const (
	// minOwnDelay is how late a timer has to run to show that this process was held up.
	minOwnDelay = 10 * ms
	// answerHandOvers is how often an answer waits for the processor, for once that a timer does.
	answerHandOvers = 4
	// maxOwnDelay is for how long silence is put down to this process.
	maxOwnDelay = sec
)

// ownDelay tells when this process was last held up, and for how long. What it hears late may have been said in
// time: guards against members that are taken for silent since this process stood still or waits for the processor.
// It could do harm, by attempts to members that are silent indeed, where a process is held up all the time.
type ownDelay struct {
	heldUpAt  int64 // when it was last seen
	heldUpFor int64 // the longest of those seen within maxOwnDelay of one another
}

// after schedules a callback and notes how late it runs.
func (d *Driver) after(wait int64, callback func()) {
	due := d.host.Now() + max(wait, 0)
	d.host.After(wait, func() {
		if now := d.host.Now(); now-due >= minOwnDelay {
			d.noteOwnDelay(now, now-due)
		}
		callback()
	})
}

// noteOwnDelay records a timer that ran late. One that was due in the midst of a delay shows only part of it, so the
// longest of those lately seen counts.
func (d *Driver) noteOwnDelay(now, delay int64) {
	if now-d.heldUpAt < maxOwnDelay {
		delay = max(delay, d.heldUpFor)
	}
	d.heldUpAt, d.heldUpFor = now, delay
}

// ownDelaySince returns for how long the answer of a member that was asked at a time may still be on its way within
// this process, 0 if it is not to be waited for.
func (d *Driver) ownDelaySince(m member, askedAt int64) int64 {
	now := d.host.Now()
	if d.heldUpAt < askedAt || now-max(d.lastHeard[m], d.startedAt) >= probeTimeout+maxOwnDelay {
		return 0
	}
	return max(0, d.heldUpAt+answerHandOvers*d.heldUpFor-now)
}
