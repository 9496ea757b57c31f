// Package measure implements benchmarks, called figures, that compare camphorbank with a naive version under the same
// load in the same run. Most figures run the real code of camphorbank in virtual time, some start real processes.
// Command camphorbank-measure prints the results.
package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Result holds the values that one figure measured for camphorbank (Ours) and for the naive version (Naive). The naive
// version routes round robin, has one FIFO queue for each target, retries on any error and uses static expert maps.
type Result struct {
	Ours  float64
	Naive float64 // 0 if the figure has no naive version
	Bound float64 // lower or upper limit that Ours must keep; 0 if the figure has none
	Note  string  // further values as key=value, printed after the others
}

// Figure is one named benchmark. The result of Run depends only on the seed if the figure uses virtual time.
type Figure struct {
	Name string
	Run  func(ctx context.Context, seed int64) (Result, error)
}

// Figures lists all figures in the order in which they are printed.
func Figures() []Figure {
	return slices.Concat(expertFigures(), localFigures(), configFigures(), entryFigures(), rolloutFigures(), prefixFigures(), promptFigures(), processFigures())
}

// Select returns the figures with the given names, or all figures if no names are given.
func Select(figures []Figure, names []string) ([]Figure, error) {
	if len(names) == 0 {
		return figures, nil
	}
	var out []Figure
	for _, name := range names {
		i := slices.IndexFunc(figures, func(f Figure) bool { return f.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("no figure %q", name)
		}
		out = append(out, figures[i])
	}
	return out, nil
}

// Run runs the figures one after the other and writes one line for each. If a figure fails, its line states the error
// and the others still run.
func Run(ctx context.Context, w io.Writer, figures []Figure, seed int64) error {
	var failed []string
	for _, f := range figures {
		r, err := f.Run(ctx, seed)
		if err != nil {
			failed = append(failed, f.Name)
			fmt.Fprintf(w, "%s error=%q\n", f.Name, err)
			continue
		}
		fmt.Fprintln(w, FormatLine(f.Name, r))
	}
	if failed != nil {
		return fmt.Errorf("failed figures: %s", strings.Join(failed, ", "))
	}
	return nil
}

// FormatLine formats a result as the line that Run writes.
func FormatLine(name string, r Result) string {
	line := fmt.Sprintf("%s ours=%.6g naive=%.6g ratio=%.4g", name, r.Ours, r.Naive, ratio(r))
	if r.Bound != 0 {
		line += fmt.Sprintf(" bound=%.6g", r.Bound)
	}
	if r.Note != "" {
		line += " " + r.Note
	}
	return line
}

func ratio(r Result) float64 {
	if r.Naive == 0 {
		return 0
	}
	return r.Ours / r.Naive
}
