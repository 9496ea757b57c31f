// Package finding describes the problems of an input document, such as a configuration file, by file, line and key. All
// problems of a document are collected and reported together.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem of a document.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // counted from 1; 0 if the line is not known
	Key     string `json:"key"`
	Message string `json:"message"`
	Warning bool   `json:"warning,omitempty"` // the document can be used as it is
}

// String formats the finding as FILE:LINE: KEY: MESSAGE, with "warning: " before the key of a warning.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Warning {
		b.WriteString("warning: ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List holds the findings of a document. An empty List is not an error: Err turns a List into an error value.
type List []Finding

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if the list is empty. Otherwise it sorts the list by line and key and returns it.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Key < l[j].Key
	})
	return l
}
