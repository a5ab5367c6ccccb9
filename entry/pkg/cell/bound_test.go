package cell

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetOf is what a place's workers are in a comparison with its bound.
type fleetOf struct {
	name       string
	fast, slow float64 // run times against the work
}

var fleets = []fleetOf{{"mild", 0.8, 1.4}, {"users", 0.7, 1.7}}

// fastWorkers and slowWorkers make up a place; the slow ones are half as large again.
const (
	fastWorkers = 11
	slowWorkers = 5
	fastCores   = 16
	slowCores   = 24
	comparison  = 12 * time.Second
)

// BenchmarkWorth shows the part of the owed credit that a place of sixteen workers earns under the users' mix, by load,
// beside the same policy with exact estimates and a bound that no policy can pass.
func BenchmarkWorth(b *testing.B) {
	for _, fleet := range fleets {
		for _, factor := range []float64{1, 1.33, 1.6, 2.2, 3.3} {
			b.Run(fmt.Sprintf("%s/%.2f", fleet.name, factor), func(b *testing.B) {
				sums := map[string]float64{}
				for i := range b.N {
					for seed := range uint64(4) {
						worth, shares := worthOf(b, fleet, factor, uint64(i)*4+seed, estimateError)
						exact, _ := worthOf(b, fleet, factor, uint64(i)*4+seed, 0)
						sums["worth"] += worth
						sums["exact"] += exact
						sums["bound"] += boundOf(fleet, factor, uint64(i)*4+seed)
						for name, share := range shares {
							sums[name] += share
						}
					}
				}
				for name, sum := range sums {
					b.ReportMetric(sum/float64(4*b.N), name)
				}
			})
		}
	}
}

// worthOf returns the part of the credit that was earned, and the share of each kind that was served in time.
func worthOf(b *testing.B, fleet fleetOf, factor float64, seed uint64, wrong float64) (worth float64, shares map[string]float64) {
	p := &pattern{factor: factor, length: comparison, fleet: fleet, wrong: wrong}
	earned, owed := 0.0, 0.0
	shares = map[string]float64{}
	for name, counted := range p.play(b, seed) {
		earned += creditOf(name) * (float64(counted.served) + float64(counted.late)/5)
		owed += creditOf(name) * float64(counted.asked)
		shares[name] = counted.share()
	}
	return earned / owed, shares
}

func creditOf(name string) float64 {
	for _, kind := range usersMix {
		if kind.name == name {
			return kind.credit
		}
	}
	return 0
}

// boundOf returns the part of the credit that fits into the room: the jobs that earn most for their core-seconds at a
// fast worker, as if work could be split up at will, over the length and the longest objective after it.
func boundOf(fleet fleetOf, factor float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	type load struct{ credit, work float64 }
	var loads []load
	owed := 0.0
	for i := range usersMix {
		kind := &usersMix[i]
		count := int(math.Round(factor * kind.rate * comparison.Seconds()))
		for range count {
			drawn := drawShape(kind, random)
			loads = append(loads, load{kind.credit, drawn.work.Seconds() * float64(drawn.tasks) * float64(drawn.cores)})
			owed += kind.credit
		}
	}
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(b.credit/b.work, a.credit/a.work) })
	room := (fastWorkers*fastCores/fleet.fast + slowWorkers*slowCores/fleet.slow) * (comparison.Seconds() + 1)
	earned := 0.0
	for _, next := range loads {
		part := math.Min(1, room/next.work)
		earned += part * next.credit
		room -= part * next.work
	}
	return earned / owed
}
