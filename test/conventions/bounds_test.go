// Package conventions checks rules for the source of the product that neither the compiler nor the linters know.
package conventions

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// root is the folder of the module.
const root = "../.."

// productFolders hold the source of the product. The tools that measure it talk to stand-ins only.
var productFolders = []string{"cmd", "internal", "platform"}

// toolFolders are left out.
var toolFolders = []string{"internal/measure", "internal/capacity", "internal/localfleet"}

// rule says which expressions must not stand in the source.
type rule struct {
	name    string
	allowed []string // folders in which they may
	broken  func(n ast.Node) bool
}

var rules = []rule{
	{"a net.Dialer has no options for silent peers: use tcpconn.Dialer", []string{"internal/tcpconn", "internal/loadgen", "internal/httpdrain"},
		func(n ast.Node) bool { return isSelector(n, "net", "Dialer") }},
	{"net.Dial has no bound: use tcpconn.Dialer", nil,
		func(n ast.Node) bool { return isSelector(n, "net", "Dial") || isSelector(n, "net", "DialTimeout") }},
	{"an http.Transport does not bound the head of an answer: use httpclient.NewTransport", []string{"internal/httpclient"},
		func(n ast.Node) bool { return isLiteralWithout(n, "http", "Transport", "MaxResponseHeaderBytes") }},
	{"an http.Client without a transport does not bound the head of an answer", nil,
		func(n ast.Node) bool { return isLiteralWithout(n, "http", "Client", "Transport") }},
	{"the default client has no bounds: use a client of its own", nil, func(n ast.Node) bool {
		for _, name := range []string{"DefaultClient", "Get", "Post", "PostForm", "Head"} {
			if isSelector(n, "http", name) {
				return true
			}
		}
		return false
	}},
	{"an http.Server does not bound the time for the head of a request", nil, func(n ast.Node) bool {
		return isLiteralWithout(n, "http", "Server", "ReadHeaderTimeout") && isLiteralWithout(n, "http", "Server", "ReadTimeout")
	}},
	{"an http.Server does not bound the head of a request", nil,
		func(n ast.Node) bool { return isLiteralWithout(n, "http", "Server", "MaxHeaderBytes") }},
	{"io.ReadAll reads without a bound: wrap its reader in io.LimitReader", nil, isUnboundedReadAll},
}

// isSelector reports whether a node is PKG.NAME.
func isSelector(n ast.Node, pkg, name string) bool {
	s, ok := n.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != name {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == pkg
}

// isLiteralWithout reports whether a node is a literal of the type PKG.NAME that does not set the field.
func isLiteralWithout(n ast.Node, pkg, name, field string) bool {
	lit, ok := n.(*ast.CompositeLit)
	if !ok || !isSelector(lit.Type, pkg, name) {
		return false
	}
	return !slices.ContainsFunc(lit.Elts, func(e ast.Expr) bool {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, ok := kv.Key.(*ast.Ident)
		return ok && key.Name == field
	})
}

// isUnboundedReadAll reports whether a node is a call of io.ReadAll with a reader that has no bound.
func isUnboundedReadAll(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok || !isSelector(call.Fun, "io", "ReadAll") || len(call.Args) != 1 {
		return false
	}
	arg, ok := call.Args[0].(*ast.CallExpr)
	return !ok || !isSelector(arg.Fun, "io", "LimitReader") && !isSelector(arg.Fun, "http", "MaxBytesReader")
}

// find returns the places in a file at which a rule of the folder is broken.
func find(set *token.FileSet, file *ast.File, folder string) (out []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		if n == nil {
			return false
		}
		for _, r := range rules {
			if !slices.Contains(r.allowed, folder) && r.broken(n) {
				out = append(out, set.Position(n.Pos()).String()+": "+r.name)
			}
		}
		return true
	})
	return out
}

// TestReadersAndConnectionsAreBounded guards against a connection, a client, a server or a reading without a bound in time and
// size. A faulty peer uses up the memory or the connections of a process through it.
func TestReadersAndConnectionsAreBounded(t *testing.T) {
	set := token.NewFileSet()
	files := 0
	for _, top := range productFolders {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			folder, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil || slices.Contains(toolFolders, filepath.ToSlash(folder)) {
				return err
			}
			file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			files++
			for _, place := range find(set, file, filepath.ToSlash(folder)) {
				t.Error(place)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 100 {
		t.Errorf("only %d files were read", files)
	}
}

// TestRulesFindWhatTheyForbid guards against rules that overlook what they are for.
func TestRulesFindWhatTheyForbid(t *testing.T) {
	for _, source := range []string{
		`var _ = net.Dialer{}`, `var _ = new(net.Dialer)`, `var _ net.Dialer`, `var _, _ = net.Dial("tcp", "a")`, `var _ = &http.Transport{}`,
		`var _ = &http.Client{Timeout: 1}`, `var _ = http.DefaultClient`, `var _, _ = http.Get("a")`,
		`var _ = &http.Server{MaxHeaderBytes: 1}`, `var _ = &http.Server{ReadTimeout: 1}`, `var _, _ = io.ReadAll(r)`,
		`var _, _ = io.ReadAll(bufio.NewReader(r))`,
	} {
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, "x.go", "package x\n"+source, 0)
		if err != nil {
			t.Fatal(err)
		}
		if found := find(set, file, "internal/x"); len(found) != 1 {
			t.Errorf("%s: %q", source, found)
		}
	}
}
