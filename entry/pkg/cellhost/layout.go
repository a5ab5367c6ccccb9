package cellhost

import (
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/peer"
)

// layout tells which workers belong to which cell. What it has worked out is kept until the workers or the number of a
// place's cells change, since each worker takes as many hashes as its place has cells.
type layout struct {
	board   *Board
	workers *map[string]peer.WorkerInfo // those that the rest was worked out from
	counts  map[string]int              // workers, by place
	places  map[string]placeLayout
}

// placeLayout is the workers of each of a place's cells.
type placeLayout struct {
	cells   int
	workers [][]peer.WorkerInfo
}

// refresh forgets what was worked out from other workers than the present ones.
func (l *layout) refresh() {
	workers := l.board.workers.Load() // the map is replaced, and not changed
	if l.workers == workers {
		return
	}
	l.workers = workers
	l.counts = map[string]int{}
	l.places = map[string]placeLayout{}
	for id := range *workers {
		l.counts[(*workers)[id].FailureDomain]++
	}
}

// perPlace returns how many workers each place has.
func (l *layout) perPlace() map[string]int {
	l.refresh()
	return l.counts
}

// of returns the workers of a cell, of a place with so many cells.
func (l *layout) of(key peer.CellKey, cells int) []peer.WorkerInfo {
	l.refresh()
	cells = max(1, cells)
	divided, ok := l.places[key.FailureDomain]
	if !ok || divided.cells != cells {
		divided = l.divide(key.FailureDomain, cells)
		l.places[key.FailureDomain] = divided
	}
	if key.Index >= len(divided.workers) {
		return nil
	}
	return divided.workers[key.Index]
}

func (l *layout) divide(place string, cells int) placeLayout {
	divided := placeLayout{cells: cells, workers: make([][]peer.WorkerInfo, cells)}
	for id, info := range *l.workers {
		if info.FailureDomain != place {
			continue
		}
		index := cellOf(id, place, cells).Index
		divided.workers[index] = append(divided.workers[index], info)
	}
	return divided
}

// cellOf returns the cell that a worker belongs to; when a place gets one more cell, only its share of workers moves there.
func cellOf(worker, place string, cells int) peer.CellKey {
	best := 0
	bestScore := uint64(0)
	for index := range cells {
		score := xxhash.Sum64String(worker + "\x00" + string(rune('a'+index)))
		if index == 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	return peer.CellKey{FailureDomain: place, Index: best}
}
