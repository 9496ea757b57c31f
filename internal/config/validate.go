package config

import (
	"encoding/hex"
	"strings"

	"github.com/camphorbank/camphorbank/internal/tomldoc"
)

// validate checks what concerns several keys: names, references, keys of accounts and sizes of groups.
func validate(src *tomldoc.Source, doc *Document) {
	presets := uniqueNames(src, "presets", len(doc.Presets), func(i int) string { return doc.Presets[i].Name })
	uniqueNames(src, "client_accounts", len(doc.ClientAccounts), func(i int) string { return doc.ClientAccounts[i].Name })
	models := uniqueNames(src, "models", len(doc.Models), func(i int) string { return doc.Models[i].Name })
	uniqueNames(src, "services", len(doc.Services), func(i int) string { return doc.Services[i].Name })
	uniqueNames(src, "groups", len(doc.Groups), func(i int) string { return doc.Groups[i].Name })
	validateReference(src, "preset_in_force", doc.PresetInForce, presets, "preset")
	validateAccounts(src, doc.ClientAccounts)
	validateModels(src, doc.Models)
	validateServices(src, doc.Services)
	for i := range doc.Groups {
		validateGroup(src, tomldoc.ElementPath("groups", i), &doc.Groups[i], models)
	}
}

// uniqueNames reports names that occur twice and returns the set of names. Empty names have a finding already.
func uniqueNames(src *tomldoc.Source, list string, n int, name func(int) string) map[string]bool {
	first := map[string]int{}
	names := map[string]bool{}
	for i := range n {
		s := name(i)
		if s == "" {
			continue
		}
		path := tomldoc.KeyPath(tomldoc.ElementPath(list, i), "name")
		if names[s] {
			src.AddFinding(path, "duplicate name %q, first used in line %d", s, src.Line(tomldoc.KeyPath(tomldoc.ElementPath(list, first[s]), "name")))
			continue
		}
		names[s], first[s] = true, i
	}
	return names
}

// validateReference reports a name that nothing in the document has.
// After a syntax error the named table may be among the unreadable lines.
func validateReference(src *tomldoc.Source, path, name string, names map[string]bool, what string) {
	if name != "" && !names[name] && src.SyntaxValid() {
		src.AddFinding(path, "names no %s: %q", what, name)
	}
}

func validateAccounts(src *tomldoc.Source, accounts []ClientAccount) {
	first := map[string]int{}
	for i := range accounts {
		path := tomldoc.ElementPath("client_accounts", i) + ".key_sha256"
		key := accounts[i].KeySHA256
		if len(key) != 2*hashBytes {
			continue
		}
		if _, err := hex.DecodeString(key); err != nil || key != strings.ToLower(key) {
			src.AddFinding(path, "is not a SHA-256 in lower-case hexadecimal")
			continue
		}
		if j, used := first[key]; used {
			src.AddFinding(path, "duplicate key, first used in line %d", src.Line(tomldoc.ElementPath("client_accounts", j)+".key_sha256"))
			continue
		}
		first[key] = i
	}
}

func validateModels(src *tomldoc.Source, models []Model) {
	for i := range models {
		seen := map[string]bool{}
		for j, adapter := range models[i].Adapters {
			if seen[adapter] && adapter != "" {
				src.AddFinding(tomldoc.ElementPath(tomldoc.ElementPath("models", i)+".adapters", j), "duplicate adapter %q", adapter)
			}
			seen[adapter] = true
		}
	}
}

func validateServices(src *tomldoc.Source, services []Service) {
	for i := range services {
		ops := services[i].Operations
		uniqueNames(src, tomldoc.ElementPath("services", i)+".operations", len(ops), func(j int) string { return ops[j].Name })
	}
}

func validateGroup(src *tomldoc.Source, path string, g *Group, models map[string]bool) {
	validateReference(src, path+".model", g.Model, models, "model")
	if g.Ranks < 1 || g.SlotsPerRank < 1 || g.Experts < 1 {
		return
	}
	if slots := g.Ranks * g.SlotsPerRank; slots < g.Experts {
		src.AddFinding(path+".slots_per_rank", "%d ranks of %d slots cannot hold %d experts", g.Ranks, g.SlotsPerRank, g.Experts)
	}
	if g.SlotsPerRank > g.Experts {
		src.AddFinding(path+".slots_per_rank", "is %d, more than the %d experts of a layer", g.SlotsPerRank, g.Experts)
	}
}
