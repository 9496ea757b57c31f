package config

import (
	"encoding/hex"
	"strings"

	"github.com/camphorbank/camphorbank/internal/tomldoc"
)

// validate checks the rules that the tags of the document's fields cannot express: unique names, references by name,
// API keys of client accounts, and sizes of groups.
func validate(src *tomldoc.Source, doc *Document) {
	presets := checkUniqueNames(src, "presets", len(doc.Presets), func(i int) string { return doc.Presets[i].Name })
	checkUniqueNames(src, "client_accounts", len(doc.ClientAccounts), func(i int) string { return doc.ClientAccounts[i].Name })
	models := checkUniqueNames(src, "models", len(doc.Models), func(i int) string { return doc.Models[i].Name })
	checkUniqueNames(src, "services", len(doc.Services), func(i int) string { return doc.Services[i].Name })
	checkUniqueNames(src, "groups", len(doc.Groups), func(i int) string { return doc.Groups[i].Name })
	validateReference(src, "preset_in_force", doc.PresetInForce, presets, "preset")
	validateAccounts(src, doc.ClientAccounts)
	validateModels(src, doc.Models)
	validateServices(src, doc.Services)
	for i := range doc.Groups {
		validateGroup(src, tomldoc.ElementPath("groups", i), &doc.Groups[i], models)
	}
}

// checkUniqueNames reports names that occur more than once in a list of n elements, and returns the set of its names.
// It ignores empty names, which have a finding already.
func checkUniqueNames(src *tomldoc.Source, list string, n int, name func(int) string) map[string]bool {
	firstIndex := map[string]int{}
	names := map[string]bool{}
	for i := range n {
		s := name(i)
		if s == "" {
			continue
		}
		path := tomldoc.KeyPath(tomldoc.ElementPath(list, i), "name")
		if names[s] {
			src.AddFinding(path, "duplicate name %q, first used in line %d", s, src.Line(tomldoc.KeyPath(tomldoc.ElementPath(list, firstIndex[s]), "name")))
			continue
		}
		names[s], firstIndex[s] = true, i
	}
	return names
}

// validateReference reports a name that is not among names, the names of that kind in the document. After a syntax
// error it reports nothing, since the named table may be in the lines that could not be parsed.
func validateReference(src *tomldoc.Source, path, name string, names map[string]bool, kind string) {
	if name != "" && !names[name] && src.SyntaxValid() {
		src.AddFinding(path, "names no %s: %q", kind, name)
	}
}

// validateAccounts reports malformed hashes of API keys, and API keys that belong to two client accounts.
func validateAccounts(src *tomldoc.Source, accounts []ClientAccount) {
	firstIndex := map[string]int{}
	for i := range accounts {
		path := tomldoc.ElementPath("client_accounts", i) + ".key_sha256"
		key := accounts[i].KeySHA256
		if len(key) != 2*sha256Bytes {
			continue
		}
		if _, err := hex.DecodeString(key); err != nil || key != strings.ToLower(key) {
			src.AddFinding(path, "is not a SHA-256 in lower-case hexadecimal")
			continue
		}
		if j, used := firstIndex[key]; used {
			src.AddFinding(path, "duplicate key, first used in line %d", src.Line(tomldoc.ElementPath("client_accounts", j)+".key_sha256"))
			continue
		}
		firstIndex[key] = i
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
		checkUniqueNames(src, tomldoc.ElementPath("services", i)+".operations", len(ops), func(j int) string { return ops[j].Name })
	}
}

// validateGroup reports an unknown model, and slots that are too few for one copy of each expert of a layer or that no
// rank can fill with different experts.
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
