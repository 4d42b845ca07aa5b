package load

import (
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"text/tabwriter"
)

// Slope is a least-squares fit of the resource usage of a process group as a function of the
// request rate.
type Slope struct {
	// Group is the name of the processes without their trailing number.
	Group string
	// Resource is "cores" for CPU time or "MB" for peak memory.
	Resource string
	// Runs is the number of points. Intercept is the value at rate 0, PerRequest the increase in one
	// process for each additional request per second to the whole fleet.
	Runs                  int
	Intercept, PerRequest float64
	// Residual is the root mean square error of the fit.
	Residual float64
}

type point struct{ x, y float64 }

var trailingNumber = regexp.MustCompile(`-?\d+$`)

// Slopes fits the resource usage of the processes of several runs at different request rates.
// Processes that ended during their run are left out.
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
		out = append(out, fitLine(name, all))
	}
	slices.SortFunc(out, func(a, b Slope) int {
		return slices.Compare([]string{a.Group, a.Resource}, []string{b.Group, b.Resource})
	})
	return out
}

func fitLine(name [2]string, all []point) Slope {
	n := float64(len(all))
	var sx, sy, sxx, sxy float64
	for _, p := range all {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	// The slope is undefined if all points have the same rate.
	s := Slope{Group: name[0], Resource: name[1], Runs: len(all), Intercept: sy / n, PerRequest: math.NaN()}
	if spread := n*sxx - sx*sx; spread > 1e-9 {
		s.PerRequest = (n*sxy - sx*sy) / spread
		s.Intercept = (sy - s.PerRequest*sx) / n
	}
	for _, p := range all {
		off := p.y - s.Intercept
		if !math.IsNaN(s.PerRequest) {
			off -= s.PerRequest * p.x
		}
		s.Residual += off * off / n
	}
	s.Residual = math.Sqrt(s.Residual)
	return s
}

// WriteSlopes writes slopes as a text table.
func WriteSlopes(w io.Writer, all []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "process\tresource\tpoints\tat rate 0\tper request/s\tresidual\t")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.4f\t%.6f\t%.4f\t\n", s.Group, s.Resource, s.Runs, s.Intercept, s.PerRequest, s.Residual)
	}
	return t.Flush()
}
