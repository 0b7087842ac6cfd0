// Package capacity measures slopes: how time, memory and bytes of control grow
// with routers, customers, targets and changes. docs/CAPACITY.md is worked out
// from its output.
//
// # Usage
//
//	zinccove-capacity --bin ./bin
//	zinccove-capacity --bin ./bin --output json
//
// Parts are measured alone and in this process, with made-up demand; the last
// table is of idle router processes.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"zinccove.example/standin/tool"
)

type options struct {
	Bin       string `long:"bin" default:"bin" description:"directory of the built programs"`
	Processes string `long:"processes" default:"3,9,27,54" description:"numbers of router processes; empty for none"`
	tool.Format
}

// point is one measurement at a size.
type point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// slope is a measured quantity over a size, with a straight line through the
// points by least squares.
type slope struct {
	Name string `json:"name"`
	// Unit is that of the values, Per what the size counts.
	Unit string  `json:"unit"`
	Per  string  `json:"per"`
	Data []point `json:"points"`
	// Base and Each are the line's value at 0 and its growth for each one more.
	Base float64 `json:"base"`
	Each float64 `json:"each"`
	// Worst is the largest distance of a point from the line, as a part of the
	// point's value.
	Worst float64 `json:"worst_residual"`
}

// fit sets the line.
func (s *slope) fit() {
	n, sx, sy, sxx, sxy := float64(len(s.Data)), 0.0, 0.0, 0.0, 0.0
	for _, p := range s.Data {
		x := float64(p.Size)
		sx, sy, sxx, sxy = sx+x, sy+p.Value, sxx+x*x, sxy+x*p.Value
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Each = (n*sxy - sx*sy) / d
	}
	s.Base = (sy - s.Each*sx) / n
	for _, p := range s.Data {
		if p.Value != 0 {
			s.Worst = max(s.Worst, abs(p.Value-s.Base-s.Each*float64(p.Size))/p.Value)
		}
	}
}

func abs(x float64) float64 { return max(x, -x) }

// Main runs the measurements and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	return tool.Main("zinccove-capacity", &o, args, out, errOut, o.run)
}

func (o *options) run(out io.Writer) error {
	slopes := measureParts()
	processes, err := o.measureProcesses()
	if err != nil {
		return err
	}
	return o.print(out, append(slopes, processes...))
}

func (o *options) print(out io.Writer, slopes []slope) error {
	for i := range slopes {
		slopes[i].fit()
	}
	if o.JSON() {
		return json.NewEncoder(out).Encode(slopes)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tUNIT\tPER\tPOINTS\tLINE\tWORST")
	for _, s := range slopes {
		points := ""
		for _, p := range s.Data {
			points += fmt.Sprintf("%d: %.4g  ", p.Size, p.Value)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g + %.4g each\t%.0f%%\n", s.Name, s.Unit, s.Per, points, s.Base, s.Each, 100*s.Worst)
	}
	return w.Flush()
}
