package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	crashing     = 3                       // of 60 minions, 5 %
	restartDelay = 500 * time.Millisecond  // after which a killed process starts again
	crashDelay   = 2 * time.Second         // from the kill to the crash
	crashLength  = 1300 * time.Millisecond // for_s of srv_crash
)

// lostKeeper has in each place in turn a share of the orders left unanswered and carried out late, then the process killed that
// gave them, then the minions crash once that they were sent to.
func lostKeeper(o *office, trouble bool) error {
	if err := deployment(o); err != nil {
		return err
	}
	done := make(chan struct{})
	traffic := o.traffic(done)
	time.Sleep(warmUp)
	for i := range zones {
		if !trouble {
			time.Sleep(lossLength + crashDelay + crashLength + latest)
			continue
		}
		zone := fmt.Sprintf("zone-%d", i)
		hit := o.busiestOf(zone, crashing)
		lose := o.loser(hit, time.Now().Add(lossLength))
		o.mu.Lock()
		o.lose = lose
		o.mu.Unlock()
		time.Sleep(lossLength)
		keeper, err := o.keeperOf(zone)
		if err != nil {
			return err
		}
		keeper.signal(syscall.SIGKILL)
		<-keeper.ended
		time.Sleep(restartDelay)
		if err := keeper.start(); err != nil {
			return err
		}
		time.Sleep(crashDelay - restartDelay)
		var all sync.WaitGroup
		for m := range hit {
			all.Go(func() {
				m.crash()
				time.Sleep(crashLength)
				if err := m.start(); err != nil {
					o.record("%s cannot start: %s", m.id, err)
				}
			})
		}
		all.Wait()
		time.Sleep(latest)
	}
	close(done)
	traffic.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

// keeperOf returns the host that has last said that it took the cell of the place.
func (o *office) keeperOf(zone string) (*host, error) {
	var found *host
	latest := ""
	for _, h := range o.hosts {
		file, err := os.Open(filepath.Join(o.folder, h.name+".log"))
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if !strings.Contains(lines.Text(), "claims: took the cell") {
				continue
			}
			var line struct {
				Cell struct{ FailureDomain string } `json:"cell"`
				Time string                         `json:"time"`
			}
			if strings.Contains(lines.Text(), zone) && json.Unmarshal(lines.Bytes(), &line) == nil && line.Time > latest {
				found, latest = h, line.Time
			}
		}
		_ = file.Close()
	}
	if found == nil {
		return nil, fmt.Errorf("no host has taken the cell of %s", zone)
	}
	o.record("%s keeps the cell of %s", found.name, zone)
	return found, nil
}
