package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// ridge keeps the normal equations solvable where neighbours were not observed.
	ridge = 1e-3
	// minContrast is how many more neighbours than the mean a run must have had to tell of the worker that it was on.
	minContrast = 0.25
)

// model holds the weighted normal equations of one queue: the deviations of run times, in logarithms, from the mean of
// their job, by the deviations of the numbers of neighbours.
type model struct {
	xx        [MaxQueues][MaxQueues]float64
	xy        [MaxQueues]float64
	yy        float64
	freedom   float64            // weight of the observations beyond the means
	beside    [MaxQueues]float64 // weight of the runs beside each neighbour
	mean      float64            // of the logarithms of jobs
	means     Neighbours         // of the neighbours of jobs
	within    float64            // mean square of the deviations from the mean of the job
	between   float64            // mean square of the deviations of jobs from their mean
	jobs      int
	decayedAt time.Time
	workers   [MaxQueues][minWorkers]string // workers on which runs beside the neighbour took longer
	slowdowns [MaxQueues]float64            // by neighbour; zero unless known with confidence
}

// estimate is an effect on the logarithm of the run time and its standard error.
type estimate struct {
	effect, deviation float64
}

// decay reduces the weight of earlier observations.
func (m *model) decay(now time.Time) {
	elapsed := now.Sub(m.decayedAt)
	if m.decayedAt.IsZero() || elapsed <= 0 {
		m.decayedAt = now
		return
	}
	if elapsed < memory/100 {
		return
	}
	m.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
	m.yy *= factor
	m.freedom *= factor
	for i := range m.xx {
		m.xy[i] *= factor
		m.beside[i] *= factor
		for j := range m.xx[i] {
			m.xx[i][j] *= factor
		}
	}
}

const (
	// meanGain is the weight of a new job in the means that jobs are compared with.
	meanGain = 0.02
	// varianceFloor is a variation of run times by a tenth, which is assumed where they vary less.
	varianceFloor = 0.01
)

// add records the runs of one job: each against the mean of the job, whose tasks share the error of its estimate, and the
// mean against those of earlier jobs. The latter varies more and counts for less accordingly.
func (m *model) add(runs []Run) {
	logs := make([]float64, len(runs))
	var mean float64
	var means Neighbours
	for i := range runs {
		logs[i] = math.Log(max(runs[i].Ratio, math.SmallestNonzeroFloat64))
		mean += logs[i] / float64(len(runs))
		for queue, count := range runs[i].Neighbours {
			means[queue] += count / float64(len(runs))
		}
	}
	m.freedom += float64(len(runs) - 1)
	for i := range runs {
		deviation := clamp(logs[i] - mean)
		if len(runs) > 1 {
			average(&m.within, deviation*deviation, meanGain)
		}
		m.addRun(&runs[i], deviation, &means, 1)
	}
	m.addMean(commonWorker(runs), mean, &means)
}

// commonWorker returns the worker of all runs, or "" if there are several.
func commonWorker(runs []Run) string {
	for i := range runs {
		if runs[i].Worker != runs[0].Worker {
			return ""
		}
	}
	return runs[0].Worker
}

// addMean adds the means of a job as one run, and updates those of the queue.
func (m *model) addMean(worker string, mean float64, means *Neighbours) {
	deviation := clamp(mean - m.mean)
	average(&m.between, deviation*deviation, meanGain)
	weight := 1.0
	if m.within > 0 { // jobs have several tasks
		weight = math.Min(1, (m.within+varianceFloor)/(m.between+varianceFloor))
	}
	m.freedom += weight
	m.addRun(&Run{Worker: worker, Neighbours: *means}, deviation, &m.means, weight)
	gain := math.Max(meanGain, 1/float64(m.jobs+1))
	average(&m.mean, mean, gain)
	for queue := range m.means {
		average(&m.means[queue], means[queue], gain)
	}
}

// average moves the average towards the value.
func average(average *float64, value, gain float64) {
	*average += gain * (value - *average)
}

func clamp(deviation float64) float64 {
	return math.Max(-maxDeviation, math.Min(maxDeviation, deviation))
}

// addRun adds a run with its deviation from the mean.
func (m *model) addRun(run *Run, deviation float64, means *Neighbours, weight float64) {
	m.yy += weight * deviation * deviation
	for i, count := range run.Neighbours {
		x := count - means[i]
		m.xy[i] += weight * x * deviation
		for j := range run.Neighbours {
			m.xx[i][j] += weight * x * (run.Neighbours[j] - means[j])
		}
		m.beside[i] += weight * math.Min(1, count)
		if x > minContrast && deviation > 0 && run.Worker != "" {
			m.addWorker(i, run.Worker)
		}
	}
}

// addWorker records a worker on which a run beside the neighbour took longer.
func (m *model) addWorker(neighbour int, worker string) {
	seen := &m.workers[neighbour]
	if free := slices.Index(seen[:], ""); free >= 0 && !slices.Contains(seen[:], worker) {
		seen[free] = worker
	}
}

// seenOn returns on how many workers runs beside the neighbour took longer, at most minWorkers.
func (m *model) seenOn(neighbour int) int {
	count := 0
	for _, worker := range m.workers[neighbour] {
		if worker != "" {
			count++
		}
	}
	return count
}

// isObserved reports whether enough runs beside the neighbour are remembered.
func (m *model) isObserved(neighbour int) bool {
	return m.beside[neighbour] >= minNeighbours
}

// forget drops what is known of a neighbour.
func (m *model) forget(neighbour int) {
	m.xy[neighbour], m.beside[neighbour], m.means[neighbour] = 0, 0, 0
	for i := range m.xx {
		m.xx[i][neighbour], m.xx[neighbour][i] = 0, 0
	}
}

// solve returns the effect of each neighbour.
func (m *model) solve() [MaxQueues]estimate {
	inverse := invert(m.xx)
	var estimates [MaxQueues]estimate
	explained := 0.0
	for i := range estimates {
		for j := range m.xy {
			estimates[i].effect += inverse[i][j] * m.xy[j]
		}
		explained += estimates[i].effect * m.xy[i]
	}
	variance := math.Max(0, m.yy-explained) / math.Max(1, m.freedom-MaxQueues)
	for i := range estimates {
		estimates[i].deviation = math.Sqrt(variance * inverse[i][i])
	}
	return estimates
}

// invert returns the inverse of a symmetric positive semidefinite matrix, to whose diagonal it adds the ridge.
func invert(matrix [MaxQueues][MaxQueues]float64) [MaxQueues][MaxQueues]float64 {
	var inverse [MaxQueues][MaxQueues]float64
	for i := range matrix {
		matrix[i][i] += ridge
		inverse[i][i] = 1
	}
	for column := range matrix {
		pivot := matrix[column][column]
		for k := range matrix {
			matrix[column][k] /= pivot
			inverse[column][k] /= pivot
		}
		for row := range matrix {
			if row == column {
				continue
			}
			factor := matrix[row][column]
			for k := range matrix {
				matrix[row][k] -= factor * matrix[column][k]
				inverse[row][k] -= factor * inverse[column][k]
			}
		}
	}
	return inverse
}
