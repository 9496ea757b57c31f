package integration

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// TestProofsNameRealTests guards against names of tests in docs/proofs.md that do not exist.
func TestProofsNameRealTests(t *testing.T) {
	defined := map[string]bool{}
	for _, pattern := range []string{"../../internal/*/*_test.go", "../../internal/adapter/*/*_test.go", "../../platform/*_test.go", "../*/*_test.go"} {
		files, err := filepath.Glob(pattern)
		check(t, err)
		for _, file := range files {
			body, err := os.ReadFile(file)
			check(t, err)
			for _, m := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllSubmatch(body, -1) {
				defined[string(m[1])] = true
			}
		}
	}
	page, err := os.ReadFile("../../docs/proofs.md")
	check(t, err)
	named := regexp.MustCompile("`(Test\\w+)").FindAllSubmatch(page, -1)
	for _, m := range named {
		if !defined[string(m[1])] {
			t.Errorf("docs/proofs.md names %s, which does not exist", m[1])
		}
	}
	if len(named) == 0 {
		t.Error("docs/proofs.md names no test")
	}
}
