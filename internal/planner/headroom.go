package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant over which the demand of urgent jobs is
	// averaged: short enough to follow a burst of a few seconds.
	demandWindow = 5 * time.Second
	// headroomSpan is how long the headroom has to last: about the time of an
	// urgent task, which gives its room back then. Of 1.5, 2.5 and 4 s the two
	// longer ones did best on paired days.
	headroomSpan = 3 * time.Second
	// headroomMost bounds the share of the workers that is kept free.
	headroomMost = 0.4
)

// demand meters the cores that arriving urgent jobs ask for.
type demand struct {
	sum float64 // cores, decayed
	at  time.Duration
}

func (d *demand) add(now time.Duration, cores float64) {
	d.decay(now)
	d.sum += cores
}

func (d *demand) decay(now time.Duration) {
	if dt := now - d.at; dt > 0 {
		d.sum *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		d.at = now
	}
}

// perSecond returns the demand in cores a second.
func (d *demand) perSecond(now time.Duration) float64 {
	d.decay(now)
	return d.sum / demandWindow.Seconds()
}

// keepHeadroom marks empty workers that only urgent work may take: stopping
// other work takes a good part of the time that an urgent job can wait.
func (p *Planner) keepHeadroom(v *view) {
	v.kept = make([]bool, len(v.workers))
	total := 0.0
	for _, w := range v.workers {
		total += w.info.Room.Cores()
	}
	if total == 0 {
		return
	}
	share := min(p.urgent.perSecond(v.now)*headroomSpan.Seconds()/total, headroomMost)
	keep := int(math.Round(share * float64(len(v.workers))))
	empty := make([][]int, len(v.racks))
	for k, members := range v.racks {
		for _, i := range members {
			if v.free[i] == v.workers[i].info.Room {
				empty[k] = append(empty[k], i)
			}
		}
	}
	// Whole racks serve gangs that need one.
	slices.SortStableFunc(empty, func(a, b []int) int { return len(b) - len(a) })
	for _, members := range empty {
		for _, i := range members {
			if keep == 0 {
				return
			}
			v.kept[i] = true
			keep--
		}
	}
}
