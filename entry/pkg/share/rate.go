package share

import (
	"math"
	"time"
)

// decaying is a sum in which an amount counts for less the older it is.
type decaying struct {
	window time.Duration
	value  float64
	at     time.Time
}

// add adds an amount.
func (d *decaying) add(amount float64, now time.Time) {
	d.value = d.sum(now) + amount
	d.at = now
}

// sum returns what is left of all amounts.
func (d *decaying) sum(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(d.window))
}

// rate returns the amount per second.
func (d *decaying) rate(now time.Time) float64 {
	return d.sum(now) / d.window.Seconds()
}

// level is the smoothed value of a quantity that is read from time to time.
type level struct {
	window time.Duration
	value  float64
	readAt time.Time
}

// read records the quantity's value since the last reading.
func (l *level) read(value float64, now time.Time) {
	if l.readAt.IsZero() {
		l.value = value
	} else if now.After(l.readAt) {
		l.value += (1 - math.Exp(-float64(now.Sub(l.readAt))/float64(l.window))) * (value - l.value)
	}
	l.readAt = now
}
