package load

import (
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"text/tabwriter"
)

// Slope is a least-squares line of a process group's use over the request rate.
type Slope struct {
	// Group is the process name without its trailing number.
	Group string
	// Of is "cores" or "MB".
	Of string
	// Runs counts the points; Base is the value at rate 0, PerRequest what one
	// more request a second over the whole fleet adds to one process.
	Runs             int
	Base, PerRequest float64
	// Residual is the root mean square distance of the points from the line.
	Residual float64
}

type point struct{ x, y float64 }

var trailingNumber = regexp.MustCompile(`-?\d+$`)

// Slopes fits the use of the processes of several runs at different rates. A
// process that ended during its run is left out.
func Slopes(reports []*Report) []Slope {
	points := map[[2]string][]point{}
	for _, r := range reports {
		rate := float64(r.Tasks) / r.Seconds
		for _, use := range r.Processes {
			if use.Ended {
				continue
			}
			group := trailingNumber.ReplaceAllString(use.Name, "")
			cores, memory := [2]string{group, "cores"}, [2]string{group, "MB"}
			points[cores] = append(points[cores], point{rate, use.Cores})
			points[memory] = append(points[memory], point{rate, use.PeakMB})
		}
	}
	var out []Slope
	for name, all := range points {
		out = append(out, fit(name, all))
	}
	slices.SortFunc(out, func(a, b Slope) int {
		return slices.Compare([]string{a.Group, a.Of}, []string{b.Group, b.Of})
	})
	return out
}

func fit(name [2]string, all []point) Slope {
	n := float64(len(all))
	var sx, sy, sxx, sxy float64
	for _, p := range all {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	// Points at one rate only have no slope.
	s := Slope{Group: name[0], Of: name[1], Runs: len(all), Base: sy / n, PerRequest: math.NaN()}
	if spread := n*sxx - sx*sx; spread > 1e-9 {
		s.PerRequest = (n*sxy - sx*sy) / spread
		s.Base = (sy - s.PerRequest*sx) / n
	}
	for _, p := range all {
		off := p.y - s.Base
		if !math.IsNaN(s.PerRequest) {
			off -= s.PerRequest * p.x
		}
		s.Residual += off * off / n
	}
	s.Residual = math.Sqrt(s.Residual)
	return s
}

// WriteSlopes prints slopes for people.
func WriteSlopes(w io.Writer, all []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "process\tof\tpoints\tat rate 0\tper request/s\tresidual\t")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.4f\t%.6f\t%.4f\t\n", s.Group, s.Of, s.Runs, s.Base, s.PerRequest, s.Residual)
	}
	return t.Flush()
}
