package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printTable prints a table, with aligned columns on a terminal and with columns separated by tabs otherwise.
func (t *tool) printTable(header []string, rows [][]string) error {
	if !t.terminal {
		for _, row := range append([][]string{header}, rows...) {
			if _, err := fmt.Fprintln(t.stdout, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printJSON prints a value as indented JSON.
func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
