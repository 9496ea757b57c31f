package tomldoc

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// isDuration reports whether the value is a duration. That is any struct that implements encoding.TextUnmarshaler: the
// package requires that the first field of such a struct is a time.Duration.
func isDuration(v reflect.Value) bool { return isDurationType(v.Type()) }

func isDurationType(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && reflect.PointerTo(t).Implements(textUnmarshaler)
}

// setDefault sets a value to the text of its default tag. For a bool, any text other than "true" is false. A text that
// does not fit another type is a programming error, and setDefault panics.
func setDefault(v reflect.Value, text string) {
	var err error
	switch {
	case isDuration(v):
		err = v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	case v.Kind() == reflect.String:
		v.SetString(text)
	case v.Kind() == reflect.Bool:
		v.SetBool(text == "true")
	case v.CanInt():
		var n int64
		n, err = strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
	case v.CanFloat():
		var f float64
		f, err = strconv.ParseFloat(text, 64)
		v.SetFloat(f)
	default:
		err = fmt.Errorf("type %s takes no default", v.Type())
	}
	if err != nil {
		panic("tomldoc: default tag: " + err.Error())
	}
}

// exceedsBounds reports whether x is below the min or above the max of its tag.
func exceedsBounds(x float64, tag reflect.StructTag) bool {
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && x < low {
		return true
	}
	high, err := strconv.ParseFloat(tag.Get("max"), 64)
	return err == nil && x > high
}

// typeName names the type of a decoded TOML value in findings.
func typeName(data any) string {
	switch x := data.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a number"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	case time.Time:
		return "a date"
	default:
		return fmt.Sprintf("a %T", x)
	}
}

// wantedTypeName names the TOML type that fits a scalar of kind k in findings.
func wantedTypeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "an integer"
	}
}

// Key describes one key of a document type by the tags of its field.
type Key struct {
	Path     string // such as presets[].name
	Default  string
	Optional bool
	Min, Max string
	OneOf    string
}

// Keys lists the keys of the struct type of x at any depth, except for keys whose values are tables.
func Keys(x any) []Key { return keysOf(reflect.TypeOf(x), "") }

func keysOf(t reflect.Type, prefix string) []Key {
	var out []Key
	for i := range t.NumField() {
		f := t.Field(i)
		path, ft := KeyPath(prefix, f.Tag.Get("toml")), f.Type
		if ft.Kind() == reflect.Slice {
			path, ft = path+"[]", ft.Elem()
		}
		if ft.Kind() == reflect.Struct && !isDurationType(ft) {
			out = append(out, keysOf(ft, path)...)
			continue
		}
		defaultText, optional := f.Tag.Lookup("default")
		out = append(out, Key{Path: path, Default: defaultText, Optional: optional,
			Min: f.Tag.Get("min"), Max: f.Tag.Get("max"), OneOf: f.Tag.Get("oneof")})
	}
	return out
}

// MarkdownRow formats the key as the first columns of a row of a Markdown table: key, default and bounds.
func MarkdownRow(k Key) string {
	defaultText := "required"
	if k.Optional {
		defaultText = "none"
	}
	if k.Default != "" {
		defaultText = k.Default
	}
	bounds := "any"
	switch {
	case k.OneOf != "":
		bounds = strings.Join(strings.Fields(k.OneOf), ", ")
	case k.Min != "" && k.Max != "":
		bounds = k.Min + " to " + k.Max
	case k.Min != "":
		bounds = "at least " + k.Min
	case k.Max != "":
		bounds = "at most " + k.Max
	}
	return fmt.Sprintf("| `%s` | %s | %s |", k.Path, defaultText, bounds)
}
