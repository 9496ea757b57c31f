// Package tomldoc decodes TOML documents into tagged structs. It accepts no unknown, missing or out-of-range keys, and
// it reports all problems of a document together, each with its line and key.
//
// The decoder of go-toml stops at the first type error. The package therefore has go-toml decode a document into nested
// maps, takes the lines of the keys from go-toml's parser, and checks the maps against the struct type itself.
package tomldoc

import (
	"bytes"
	"errors"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/camphorbank/camphorbank/internal/finding"
)

// maxSyntaxErrors is the number of syntax errors at which Parse gives up. It bounds the time spent on a document that
// is not TOML at all, since each error costs a pass over the document.
const maxSyntaxErrors = 20

// Source is a parsed document with the lines of its keys and the findings about it so far.
type Source struct {
	file        string
	tree        map[string]any
	lines       map[string]int // by path, such as presets[0].name
	findings    finding.List
	syntaxValid bool // false after a syntax error
}

// Parse parses a document. A syntax error becomes a finding, and parsing goes on without the line of the error or, if
// that line is a table header, without the table. If Parse gives up, the source has findings but no keys. The name of
// the file appears in findings.
func Parse(file string, body []byte) *Source {
	s := &Source{file: file, syntaxValid: true}
	text := bytes.Clone(body)
	for range maxSyntaxErrors {
		s.tree = map[string]any{}
		err := toml.Unmarshal(text, &s.tree)
		if err == nil {
			s.lines = keyLines(text)
			return s
		}
		s.syntaxValid = false
		line := s.addSyntaxError(err)
		if !blankLine(text, line) {
			break
		}
	}
	s.tree, s.lines = map[string]any{}, map[string]int{}
	return s
}

// addSyntaxError records a parse error as a finding and returns its line, or 0 if it has none.
func (s *Source) addSyntaxError(err error) int {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		s.findings = append(s.findings, finding.Finding{File: s.file, Message: err.Error()})
		return 0
	}
	line, _ := decodeErr.Position()
	message := strings.TrimPrefix(decodeErr.Error(), "toml: ")
	s.findings = append(s.findings, finding.Finding{File: s.file, Line: line, Key: strings.Join(decodeErr.Key(), "."), Message: message})
	return line
}

// blankLine overwrites a line with spaces, so that the lines after it keep their numbers, and reports whether it
// changed anything. If the line is a table header, the lines of its table are overwritten too, since the parser would
// otherwise assign their keys to the previous table.
func blankLine(text []byte, line int) bool {
	if line < 1 {
		return false
	}
	lines := bytes.SplitAfter(text, []byte("\n"))
	if line > len(lines) {
		return false
	}
	result := overwriteWithSpaces(lines[line-1])
	if !result.tableHeader {
		return result.changed
	}
	for _, next := range lines[line:] {
		if bytes.HasPrefix(bytes.TrimSpace(next), []byte("[")) {
			break
		}
		overwriteWithSpaces(next)
	}
	return true
}

// overwriteResult tells whether a line changed when it was overwritten, and whether it was a table header before.
type overwriteResult struct{ changed, tableHeader bool }

// overwriteWithSpaces replaces all bytes of the line by spaces, except for the line break.
func overwriteWithSpaces(line []byte) overwriteResult {
	result := overwriteResult{tableHeader: bytes.HasPrefix(bytes.TrimSpace(line), []byte("["))}
	for i, c := range line {
		if c != '\n' && c != ' ' {
			line[i], result.changed = ' ', true
		}
	}
	return result
}

// keyLines returns the line of each key, table and array element of a valid document by its path.
func keyLines(text []byte) map[string]int {
	recorder := lineRecorder{lineStarts: lineStarts(text), lines: map[string]int{}, elements: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		n := parser.Expression()
		switch n.Kind {
		case unstable.Table:
			prefix = recorder.recordKey("", n.Key(), false)
		case unstable.ArrayTable:
			prefix = recorder.recordKey("", n.Key(), true)
		case unstable.KeyValue:
			recorder.recordValue(recorder.recordKey(prefix, n.Key(), false), n.Value())
		}
	}
	return recorder.lines
}

// lineRecorder collects the lines of keys while the expressions of a document are visited in order.
type lineRecorder struct {
	lineStarts []int // byte offset of each line
	lines      map[string]int
	elements   map[string]int // number of elements seen so far in each array of tables
}

// recordKey records the line of each part of a dotted key below prefix and returns the path of the key. With
// newElement, the key is the header of an array of tables and begins the next element of the array.
func (w *lineRecorder) recordKey(prefix string, it unstable.Iterator, newElement bool) string {
	path := prefix
	for it.Next() {
		path = KeyPath(path, string(it.Node().Data))
		line := w.lineOf(it.Node())
		w.record(path, line)
		if newElement && it.IsLast() {
			w.elements[path]++
		}
		if n := w.elements[path]; n > 0 {
			path = ElementPath(path, n-1)
			w.record(path, line)
		}
	}
	return path
}

// recordValue records the lines of the elements of an array and of the keys of an inline table, at any depth.
func (w *lineRecorder) recordValue(path string, n *unstable.Node) {
	it := n.Children()
	switch n.Kind {
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			element := ElementPath(path, i)
			w.record(element, w.lineOf(it.Node()))
			w.recordValue(element, it.Node())
		}
	case unstable.InlineTable:
		for it.Next() {
			kv := it.Node()
			w.recordValue(w.recordKey(path, kv.Key(), false), kv.Value())
		}
	}
}

// record keeps the first known line of a path.
func (w *lineRecorder) record(path string, line int) {
	if _, known := w.lines[path]; !known && line > 0 {
		w.lines[path] = line
	}
}

// lineOf returns the line of the node, counted from 1, or 0 if the parser gives no position for it.
func (w *lineRecorder) lineOf(n *unstable.Node) int {
	if n.Raw.Length == 0 {
		return 0 // the parser gives no position for nested arrays
	}
	return sort.SearchInts(w.lineStarts, int(n.Raw.Offset)+1)
}

// lineStarts returns the byte offset of each line.
func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// KeyPath returns the path of a key in the table at prefix, such as presets[0].name. The top table has an empty path.
func KeyPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// ElementPath returns the path of an element of the array at path, such as presets[0].
func ElementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
