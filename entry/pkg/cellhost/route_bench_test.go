package cellhost

import (
	"testing"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// BenchmarkChoiceOfKeepers measures the choice of a job's keepers at its home, in a fleet of 45 hosts of which ten keep cells.
func BenchmarkChoiceOfKeepers(b *testing.B) {
	c := newFleet(45)
	for name, state := range c.view.Hosts {
		if len(state.Claims) > 0 {
			state.Loads = []cell.Load{{Group: "g", FreeSlots: 9}}
			state.Excesses = []peer.Excess{{Queue: "other", Beyond: 100}}
			c.view.Hosts[name] = state
		}
	}
	home := NewHomeController(c.common, c.options, c.board, nil, c.keeper)
	submission := submissionOf(c.clock)
	request := home.newRequest(submission)
	r := &route{home: home, submission: submission, request: request}
	b.ReportAllocs()
	for b.Loop() {
		home.RefuseEarly("job", submission.Queue)
		r.orderKeepers(r.withoutOverloaded(home.keepers()))
	}
}

// BenchmarkChoiceOfForwards measures the choice of the keepers to which a keeper forwards a job.
func BenchmarkChoiceOfForwards(b *testing.B) {
	c := newFleet(45)
	home := NewHomeController(c.common, c.options, c.board, nil, c.keeper)
	request := home.newRequest(submissionOf(c.clock))
	b.ReportAllocs()
	for b.Loop() {
		home.chooseForwards(request, peer.RunHere)
	}
}
