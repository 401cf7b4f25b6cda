package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant of the average of urgent demand. It is
	// short enough to follow a burst of a few seconds.
	demandWindow = 5 * time.Second
	// headroomSpan is how long the headroom has to last. It is about the run time
	// of an urgent task, after which the task's capacity is free again. A span of
	// 1.5 s serves urgent jobs worse than 2.5 s or 4 s.
	headroomSpan = 3 * time.Second
	// maxHeadroomShare limits the share of the workers that is reserved.
	maxHeadroomShare = 0.4
)

// demand measures the cores that arriving urgent jobs, those of priority 0,
// require.
type demand struct {
	sum       float64 // cores, exponentially decayed until updatedAt
	updatedAt time.Duration
}

func (d *demand) add(now time.Duration, cores float64) {
	d.decay(now)
	d.sum += cores
}

func (d *demand) decay(now time.Duration) {
	if dt := now - d.updatedAt; dt > 0 {
		d.sum *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		d.updatedAt = now
	}
}

// perSecond returns the demand in cores per second.
func (d *demand) perSecond(now time.Duration) float64 {
	d.decay(now)
	return d.sum / demandWindow.Seconds()
}

// reserveHeadroom marks empty workers that only urgent jobs may use. Stopping
// other tasks takes a large part of the time that an urgent job can wait.
func (p *Planner) reserveHeadroom(v *view) {
	v.urgentOnly = make([]bool, len(v.workers))
	total := 0.0
	for _, w := range v.workers {
		total += w.info.Capacity.Cores()
	}
	if total == 0 {
		return
	}
	share := min(p.urgentDemand.perSecond(v.now)*headroomSpan.Seconds()/total, maxHeadroomShare)
	remaining := int(math.Round(share * float64(len(v.workers))))
	empty := make([][]int, len(v.racks))
	for k, members := range v.racks {
		for _, i := range members {
			if v.free[i] == v.workers[i].info.Capacity {
				empty[k] = append(empty[k], i)
			}
		}
	}
	// Racks with the most empty workers come first, for gangs that need a whole
	// rack, and the fastest workers of each.
	slices.SortStableFunc(empty, func(a, b []int) int { return len(b) - len(a) })
	for _, members := range empty {
		slices.SortStableFunc(members, func(a, b int) int { return v.class[a] - v.class[b] })
	}
	for _, members := range empty {
		for _, i := range members {
			if remaining == 0 {
				return
			}
			v.urgentOnly[i] = true
			remaining--
		}
	}
}
