package cell

import "slices"

func (k *simKeeper) sender() Sender {
	return Sender{Host: k.name}
}

// notify notifies a host of the keeper's failure domain of starts, and one elsewhere.
func (d *simDomain) notify(from *simKeeper, starts []LateStart) {
	if !d.isReached(from) {
		return
	}
	notified := map[bool]bool{}
	for _, to := range d.keepers {
		if isLocal := to.cellIndex == from.cellIndex; to != from && d.isReached(to) && !notified[isLocal] {
			to.cell.WitnessStarts(from.sender(), starts, d.now)
			notified[isLocal] = true
		}
	}
}

// records returns the starts that the keeper has on record as unsettled or as a witness, these with their senders.
func (k *simKeeper) records() map[unsettledKey]Sender {
	records := map[unsettledKey]Sender{}
	for key := range k.cell.unsettled.byKey {
		records[key] = Sender{}
	}
	for sender, starts := range k.cell.unsettled.witnessed {
		for _, start := range starts {
			records[start.unsettledKey] = sender
		}
	}
	return records
}

// detectFailures has each keeper suspect those without a heartbeat for failAfter.
func (d *simDomain) detectFailures() {
	for _, k := range slices.Clone(d.keepers) {
		if d.isReached(k) {
			delete(d.silentSince, k)
			continue
		}
		since, known := d.silentSince[k]
		if !known {
			d.silentSince[k] = d.now
		}
		if !known || d.now.Sub(since) <= failAfter || d.now.Sub(since) > failAfter+step {
			continue
		}
		for _, other := range d.keepers {
			if other != k && d.isReached(other) {
				effects, _ := other.cell.HandleKeeperFailure(k.name, "", d.now)
				other.applyEffects(&effects)
			}
		}
	}
}

// exchangeLateStarts has keepers that reach each other merge the reports in each other's heartbeats.
func (d *simDomain) exchangeLateStarts() {
	if d.heartbeats > 0 && d.now.UnixMilli()%d.heartbeats.Milliseconds() >= step.Milliseconds() {
		return
	}
	for _, from := range d.keepers {
		if !d.isReached(from) {
			continue
		}
		starts, until := from.cell.RecentLateStarts(d.now), from.cell.StartsReportedUntil()
		for _, to := range d.keepers {
			if to == from || !d.isReached(to) {
				continue
			}
			effects := to.cell.MergeLateStarts(starts, d.now)
			to.applyEffects(&effects)
			to.cell.HandleStartsReported(from.sender(), until)
		}
	}
}
