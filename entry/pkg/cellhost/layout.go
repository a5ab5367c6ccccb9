package cellhost

import (
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/peer"
)

// layout assigns workers to cells. The assignment is cached until the workers or the number of a failure domain's
// cells change, since each worker takes as many hashes as its domain has cells.
type layout struct {
	board   *Board
	workers *map[string]peer.WorkerInfo // those from which the cache was computed
	counts  map[string]int              // workers, by failure domain
	domains map[string]domainLayout
}

// domainLayout is the workers of each of a failure domain's cells.
type domainLayout struct {
	cells   int
	workers [][]peer.WorkerInfo
}

// refresh clears the cache if the workers have changed.
func (l *layout) refresh() {
	workers := l.board.workers.Load() // the map is replaced, never modified
	if l.workers == workers {
		return
	}
	l.workers = workers
	l.counts = map[string]int{}
	l.domains = map[string]domainLayout{}
	for id := range *workers {
		l.counts[(*workers)[id].FailureDomain]++
	}
}

// workersPerDomain returns how many workers each failure domain has.
func (l *layout) workersPerDomain() map[string]int {
	l.refresh()
	return l.counts
}

// cellWorkers returns the workers of a cell, given the number of cells of its failure domain.
func (l *layout) cellWorkers(key peer.CellKey, cells int) []peer.WorkerInfo {
	l.refresh()
	cells = max(1, cells)
	divided, ok := l.domains[key.FailureDomain]
	if !ok || divided.cells != cells {
		divided = l.divide(key.FailureDomain, cells)
		l.domains[key.FailureDomain] = divided
	}
	if key.Index >= len(divided.workers) {
		return nil
	}
	return divided.workers[key.Index]
}

func (l *layout) divide(domain string, cells int) domainLayout {
	divided := domainLayout{cells: cells, workers: make([][]peer.WorkerInfo, cells)}
	for id, info := range *l.workers {
		if info.FailureDomain != domain {
			continue
		}
		index := cellOf(id, domain, cells).Index
		divided.workers[index] = append(divided.workers[index], info)
	}
	return divided
}

// cellOf returns the cell of a worker by rendezvous hashing; a further cell moves only its share of the workers.
func cellOf(worker, domain string, cells int) peer.CellKey {
	best := 0
	bestScore := uint64(0)
	for index := range cells {
		score := xxhash.Sum64String(worker + "\x00" + string(rune('a'+index)))
		if index == 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	return peer.CellKey{FailureDomain: domain, Index: best}
}
