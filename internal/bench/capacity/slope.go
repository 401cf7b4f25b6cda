// Package capacity measures how the scheduler's costs grow with its load, on one
// machine and over loopback, and extrapolates the costs of each role at the
// planned size. It also generates the tables of the capacity page.
package capacity

import "math"

// Point is one measured value at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
	// Run numbers the repetition of the whole measurement, from 0.
	Run int `json:"run"`
}

// Fit is a least-squares line through points.
type Fit struct {
	// Fixed is the value at size 0, Slope the growth per unit of size.
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"`
	// Spread is the largest minus the smallest slope of the individual runs.
	Spread float64 `json:"spread"`
	// Order is the exponent of a power law fitted to the values, 1 for a cost
	// proportional to the size and 0 for a constant.
	Order float64 `json:"order"`
}

// NewFit fits points of three or more sizes.
func NewFit(points []Point) Fit {
	fixed, slope := leastSquares(points)
	return Fit{Fixed: fixed, Slope: slope, Spread: spread(points), Order: order(points)}
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 {
	return f.Fixed + f.Slope*size
}

func leastSquares(points []Point) (fixed, slope float64) {
	n := float64(len(points))
	if n == 0 {
		return 0, 0
	}
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}

func spread(points []Point) float64 {
	byRun := make(map[int][]Point)
	for _, p := range points {
		byRun[p.Run] = append(byRun[p.Run], p)
	}
	low, high := math.Inf(1), math.Inf(-1)
	for _, run := range byRun {
		_, slope := leastSquares(run)
		low = min(low, slope)
		high = max(high, slope)
	}
	if high < low {
		return 0
	}
	return high - low
}

// order returns the exponent of a power law fitted to the points. It ignores
// sizes and values that aren't positive.
func order(points []Point) float64 {
	var logs []Point
	for _, p := range points {
		if p.Size > 0 && p.Value > 0 {
			logs = append(logs, Point{Size: math.Log(p.Size), Value: math.Log(p.Value)})
		}
	}
	_, slope := leastSquares(logs)
	return slope
}
