package tomldoc

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/finding"
)

// Decode fills the struct that out points to and adds a finding for every unknown key, missing key, wrong type, wrong
// unit and value out of bounds. Every field of the struct has a tag toml and may have the others:
//
//	toml     name of the key
//	default  value of a key that is not given, where "" is the zero value; without this tag the key is required
//	min,max  bounds of a number or duration, of the bytes of a string, or of the elements of a list
//	oneof    permitted strings, separated by spaces
//	each     tags that apply to each element of a list
func (s *Source) Decode(out any) {
	s.decodeTable(reflect.ValueOf(out).Elem(), s.tree, "")
}

// AddFinding records a finding about the key at path.
func (s *Source) AddFinding(path, format string, args ...any) {
	f := finding.Finding{File: s.file, Line: s.Line(path), Key: path, Message: fmt.Sprintf(format, args...)}
	s.findings = append(s.findings, f)
}

// SyntaxValid reports whether the document has no syntax errors. If it has some, keys and names that seem to be missing
// may be in the lines that could not be parsed, and must not be reported.
func (s *Source) SyntaxValid() bool { return s.syntaxValid }

// Has reports whether the document contains the key at path.
func (s *Source) Has(path string) bool { return s.lines[path] > 0 }

// Findings returns the findings recorded so far, unsorted.
func (s *Source) Findings() finding.List { return s.findings }

// Line returns the line of the key at path or, if it has none, of the innermost table or array around it that has one.
// Without any it returns 0.
func (s *Source) Line(path string) int {
	for path != "" {
		if n := s.lines[path]; n > 0 {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// decodeTable decodes the keys of a table into the struct v. A nil tree stands for a table that is not given.
func (s *Source) decodeTable(v reflect.Value, tree map[string]any, path string) {
	known := map[string]bool{}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get("toml")
		known[key] = true
		s.decodeField(v.Field(i), f.Tag, tree, key, KeyPath(path, key))
	}
	for _, key := range sortedKeys(tree) {
		if !known[key] {
			s.AddFinding(KeyPath(path, key), "unknown key")
		}
	}
}

// decodeField decodes one key of a table, or sets its default if the table does not contain it. A required table that
// is not given is decoded as an empty one, so that each of its keys gets its default or a finding.
func (s *Source) decodeField(v reflect.Value, tag reflect.StructTag, tree map[string]any, key, path string) {
	data, given := tree[key]
	defaultText, optional := tag.Lookup("default")
	switch {
	case given:
		s.decodeValue(v, data, path, tag)
	case optional && defaultText != "":
		setDefault(v, defaultText)
	case optional:
	case v.Kind() == reflect.Struct && !isDuration(v):
		s.decodeTable(v, nil, path)
	case s.syntaxValid:
		s.AddFinding(path, "missing key")
	}
}

// decodeValue decodes data into v, by the type of v.
func (s *Source) decodeValue(v reflect.Value, data any, path string, tag reflect.StructTag) {
	switch {
	case isDuration(v):
		s.decodeDuration(v, data, path, tag)
	case v.Kind() == reflect.Struct:
		if tree, ok := data.(map[string]any); ok {
			s.decodeTable(v, tree, path)
		} else {
			s.addWrongType(path, "a table", data)
		}
	case v.Kind() == reflect.Slice:
		s.decodeList(v, data, path, tag)
	default:
		s.decodeScalar(v, data, path, tag)
	}
}

func (s *Source) decodeList(v reflect.Value, data any, path string, tag reflect.StructTag) {
	items, ok := data.([]any)
	if !ok {
		s.addWrongType(path, "a list", data)
		return
	}
	s.checkBounds(path, int64(len(items)), tag, "%d elements")
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	elementTag := reflect.StructTag(tag.Get("each"))
	for i, item := range items {
		s.decodeValue(v.Index(i), item, ElementPath(path, i), elementTag)
	}
}

func (s *Source) decodeDuration(v reflect.Value, data any, path string, tag reflect.StructTag) {
	str, ok := data.(string)
	if !ok {
		s.AddFinding(path, "is %s, want a duration with a unit such as \"250ms\"", typeName(data))
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(str)); err != nil {
		s.AddFinding(path, "%s", err)
		return
	}
	d := v.Field(0).Interface().(time.Duration)
	if low, err := time.ParseDuration(tag.Get("min")); err == nil && d < low {
		s.addOutOfBounds(path, d.String(), tag)
	} else if high, err := time.ParseDuration(tag.Get("max")); err == nil && d > high {
		s.addOutOfBounds(path, d.String(), tag)
	}
}

func (s *Source) decodeScalar(v reflect.Value, data any, path string, tag reflect.StructTag) {
	switch x := data.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(x)
			s.checkString(path, x, tag)
			return
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(x)
			return
		}
	case int64:
		if v.CanInt() {
			v.SetInt(x)
			s.checkBounds(path, x, tag, "%d")
			return
		}
		if v.CanFloat() {
			v.SetFloat(float64(x))
			s.checkFloat(path, float64(x), tag)
			return
		}
	case float64:
		if v.CanFloat() {
			v.SetFloat(x)
			s.checkFloat(path, x, tag)
			return
		}
	}
	s.addWrongType(path, wantedTypeName(v.Kind()), data)
}

func (s *Source) checkString(path, x string, tag reflect.StructTag) {
	if allowed := tag.Get("oneof"); allowed != "" && !slices.Contains(strings.Fields(allowed), x) {
		s.AddFinding(path, "is %q, want one of: %s", x, strings.Join(strings.Fields(allowed), ", "))
		return
	}
	s.checkBounds(path, int64(len(x)), tag, "%d bytes long")
}

func (s *Source) checkBounds(path string, x int64, tag reflect.StructTag, format string) {
	if exceedsBounds(float64(x), tag) {
		s.addOutOfBounds(path, fmt.Sprintf(format, x), tag)
	}
}

func (s *Source) checkFloat(path string, x float64, tag reflect.StructTag) {
	if math.IsNaN(x) || math.IsInf(x, 0) || exceedsBounds(x, tag) {
		s.addOutOfBounds(path, fmt.Sprint(x), tag)
	}
}

// addOutOfBounds records that a value violates the bounds of its tag. It takes the value as it appears in the message.
func (s *Source) addOutOfBounds(path, value string, tag reflect.StructTag) {
	low, high := tag.Get("min"), tag.Get("max")
	switch {
	case high == "":
		s.AddFinding(path, "is %s, want at least %s", value, low)
	case low == "":
		s.AddFinding(path, "is %s, want at most %s", value, high)
	default:
		s.AddFinding(path, "is %s, want %s to %s", value, low, high)
	}
}

func (s *Source) addWrongType(path, want string, data any) {
	s.AddFinding(path, "is %s, want %s", typeName(data), want)
}

func sortedKeys(tree map[string]any) []string {
	keys := make([]string, 0, len(tree))
	for k := range tree {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
