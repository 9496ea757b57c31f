package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/finding"
	"github.com/camphorbank/camphorbank/internal/tomldoc"
)

const minimalDocument = "revision = 1\npreset_in_force = \"a\"\n[[presets]]\nname = \"a\"\n"

// TestParseReportsAllProblems guards against a parser that stops at the first problem, or reports one without its line
// or key.
func TestParseReportsAllProblems(t *testing.T) {
	body := `revision = "one"
preset_in_force = "night"
colour = "red"

[[presets]]
name = "day"
max_wait_short = 500
max_wait_long = "4"
deadline_call = "2h"
retry_share = 1.5
long_open = "yes"

[[presets]]
name = "day"

[[client_accounts]]
weight = 0
key_sha256 = "Z8a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c0"
limits = {burst = 3}

[[models]]
name = "m"
adapters = ["x", 5, "x"]

[[services]]
name = "desk"
[[services.operations]]
name = "reserve"

[[groups]]
name = "g"
model = "n"
ranks = 2
layers = 1
experts = 64
slots_per_rank = 4
expert_bytes = 1.5
weight_store_bytes_per_second = 1
`
	want := []string{
		`f:1: revision: is a string, want an integer`,
		`f:2: preset_in_force: names no preset: "night"`,
		`f:3: colour: unknown key`,
		`f:7: presets[0].max_wait_short: is an integer, want a duration with a unit such as "250ms"`,
		`f:8: presets[0].max_wait_long: "4" is not a duration with a unit such as "250ms"`,
		`f:9: presets[0].deadline_call: is 2h0m0s, want 10ms to 10m`,
		`f:10: presets[0].retry_share: is 1.5, want 0 to 1`,
		`f:11: presets[0].long_open: is a string, want true or false`,
		`f:14: presets[1].name: duplicate name "day", first used in line 6`,
		`f:16: client_accounts[0].name: missing key`,
		`f:17: client_accounts[0].weight: is 0, want 1 to 1000`,
		`f:18: client_accounts[0].key_sha256: is not a SHA-256 in lower-case hexadecimal`,
		`f:19: client_accounts[0].limits: unknown key`,
		`f:23: models[0].adapters[1]: is an integer, want a string`,
		`f:23: models[0].adapters[2]: duplicate adapter "x"`,
		`f:27: services[0].operations[0].idempotent: missing key`,
		`f:32: groups[0].model: names no model: "n"`,
		`f:36: groups[0].slots_per_rank: 2 ranks of 4 slots cannot hold 64 experts`,
		`f:37: groups[0].expert_bytes: is a number, want an integer`,
	}
	_, err := Parse("f", []byte(body))
	if err == nil || err.Error() != strings.Join(want, "\n") {
		t.Errorf("findings:\n%v\nwant:\n%s", err, strings.Join(want, "\n"))
	}
}

// TestParseReportsSyntaxErrorsWithOtherProblems guards against a syntax error that hides other problems, and against
// findings about keys that seem to be missing only because their lines could not be parsed.
func TestParseReportsSyntaxErrorsWithOtherProblems(t *testing.T) {
	body := "revision = = 1\npreset_in_force = \"a\"\n[[presets]\nname = \"a\"\n[[models]]\nname = \"m\"\nname = \"m\"\nfrom = 3\n"
	_, err := Parse("f", []byte(body))
	var l finding.List
	if !errors.As(err, &l) || len(l) != 4 {
		t.Fatalf("findings: %v", err)
	}
	for i, line := range []int{1, 3, 7, 8} {
		if l[i].Line != line {
			t.Errorf("finding %q: want line %d", l[i], line)
		}
	}
}

// TestParseRules guards against single rules that are not enforced, beyond those that the tests above cover.
func TestParseRules(t *testing.T) {
	account := "[[client_accounts]]\nname = \"%\"\nkey_sha256 = \"" + strings.Repeat("ab", 32) + "\"\n"
	for name, c := range map[string]struct{ body, want string }{
		"defaults suffice":   {minimalDocument, ""},
		"empty document":     {"", "f: preset_in_force: missing key\nf: presets: missing key\nf: revision: missing key"},
		"revision bounds":    {strings.Replace(minimalDocument, "= 1", "= 1000000000000001", 1), "f:1: revision: is 1000000000000001, want 1 to 1000000000000000"},
		"no presets":         {"revision = 1\npreset_in_force = \"a\"\npresets = []\n", "f:2: preset_in_force: names no preset: \"a\"\nf:3: presets: is 0 elements, want 1 to 64"},
		"not a number":       {minimalDocument + "retry_share = nan\n", "f:5: presets[0].retry_share: is NaN, want 0 to 1"},
		"same key":           {minimalDocument + strings.Replace(account, "%", "x", 1) + strings.Replace(account, "%", "y", 1), "f:10: client_accounts[1].key_sha256: duplicate key, first used in line 7"},
		"table as scalar":    {minimalDocument + "[presets.name2]\n", "f:5: presets[0].name2: unknown key"},
		"scalar as table":    {minimalDocument + "[[models]]\nname = {a = 1}\n", "f:6: models[0].name: is a table, want a string"},
		"duration unit zero": {minimalDocument + "max_wait_short = \"0\"\n", "f:5: presets[0].max_wait_short: \"0\" is not a duration with a unit such as \"250ms\""},
	} {
		_, err := Parse("f", []byte(c.body))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s:\ngot  %s\nwant %s", name, got, c.want)
		}
	}
}

// TestExamplesParse guards against example documents that the daemon would reject, or that lack the preset, account or
// model that the demo and the tests use.
func TestExamplesParse(t *testing.T) {
	for file, model := range map[string]string{"etikettwerk": "wording", "curtain-call": "drafting"} {
		path := "../../examples/" + file + ".toml"
		body, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(path, body)
		if err != nil {
			t.Fatal(err)
		}
		if s.Preset().Name != "ordinary" || s.AccountByKey("demo-key") == nil || s.Model(model) == nil {
			t.Errorf("%s: preset %q, or no demo account, or no model %s", path, s.Preset().Name, model)
		}
		if d := s.Document; len(d.Presets) != 3 || len(d.ClientAccounts) != 10 || len(d.Groups) != 1 {
			t.Errorf("%s: %d presets, %d accounts, %d groups", path, len(d.Presets), len(d.ClientAccounts), len(d.Groups))
		}
	}
}

// TestDocumentationNamesEveryKey guards against documentation without a key or with another default or other bounds.
func TestDocumentationNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range tomldoc.Keys(Document{}) {
		if row := tomldoc.MarkdownRow(k); !strings.Contains(string(page), row) {
			t.Errorf("docs/configuration.md lacks the row starting with: %s", row)
		}
	}
}

// FuzzParse guards against a crash, two different results for the same document, and an accepted document without a
// preset or revision.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add([]byte("a = [[{b.\"c d\" = 1}]]\n[x.y]\n[[x.z]]\n[[x.z.w]]\nq = 1979-05-27\n"))
	f.Add([]byte("revision = \"\n[[presets]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		first, err := Parse("f", body)
		second, again := Parse("f", body)
		if (err == nil) != (again == nil) || (err != nil && err.Error() != again.Error()) {
			t.Fatalf("two results: %v and %v", err, again)
		}
		if err != nil {
			return
		}
		if first.Preset() == nil || first.Revision() < 1 || first.Hash != second.Hash {
			t.Fatalf("accepted without a preset or revision: %+v", first.Document)
		}
	})
}
