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

// fleetSpeeds holds the speeds of a failure domain's workers.
type fleetSpeeds struct {
	name       string
	fast, slow float64 // run time per unit of work
}

var fleets = []fleetSpeeds{{"mild", 0.8, 1.4}, {"users", 0.7, 1.7}}

// fastWorkers and slowWorkers make up a failure domain; the slow ones are half as large again.
const (
	fastWorkers      = 11
	slowWorkers      = 5
	fastCores        = 16
	slowCores        = 24
	comparisonLength = 12 * time.Second
)

// BenchmarkWorth reports, by load, the fraction of the owed credit that a failure domain of sixteen workers earns
// under the users' mix, the same with exact estimates, and an upper bound for any policy.
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

// worthOf returns the fraction of the credit that was earned, and the share of each kind of job that was served in
// time.
func worthOf(b *testing.B, fleet fleetSpeeds, factor float64, seed uint64, errorRange float64) (worth float64, shares map[string]float64) {
	s := &scenario{factor: factor, length: comparisonLength, fleet: fleet, errorRange: errorRange}
	earned, owed := 0.0, 0.0
	shares = map[string]float64{}
	for name, counted := range s.run(b, seed) {
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

// boundOf returns an upper bound of the fraction of the credit: it serves the jobs with the most credit per
// core-second on a fast worker, with work arbitrarily divisible, over the length and the longest objective after it.
func boundOf(fleet fleetSpeeds, factor float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	type load struct{ credit, work float64 }
	var loads []load
	owed := 0.0
	for i := range usersMix {
		kind := &usersMix[i]
		count := int(math.Round(factor * kind.rate * comparisonLength.Seconds()))
		for range count {
			drawn := drawShape(kind, random)
			loads = append(loads, load{kind.credit, drawn.work.Seconds() * float64(drawn.tasks) * float64(drawn.cores)})
			owed += kind.credit
		}
	}
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(b.credit/b.work, a.credit/a.work) })
	capacity := (fastWorkers*fastCores/fleet.fast + slowWorkers*slowCores/fleet.slow) * (comparisonLength.Seconds() + 1)
	earned := 0.0
	for _, next := range loads {
		part := math.Min(1, capacity/next.work)
		earned += part * next.credit
		capacity -= part * next.work
	}
	return earned / owed
}
