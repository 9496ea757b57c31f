package configcheck

import (
	"maps"
	"slices"
	"strconv"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// accountIndex holds the client accounts of a configuration by name, and the account of each key.
type accountIndex struct {
	byName map[string]*routetable.Account
	holder map[string]string // name of the account by hashed key
}

func indexAccounts(c *routetable.Config) accountIndex {
	out := accountIndex{map[string]*routetable.Account{}, map[string]string{}}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		out.byName[a.Name] = a
		for _, key := range a.Keys {
			out.holder[key] = a.Name
		}
	}
	return out
}

// compareAccounts compares the client accounts. A key matters only while the configuration has accounts, since routes
// need none otherwise.
func (c *comparison) compareAccounts() {
	before, after := indexAccounts(c.before), indexAccounts(c.after)
	for _, name := range slices.Sorted(maps.Keys(before.byName)) {
		if after.byName[name] == nil {
			c.add(AccountRemoved, name, AfterDrain, "no request carries its name any more")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after.byName)) {
		old, now := before.byName[name], after.byName[name]
		if old == nil {
			c.add(AccountAdded, name, AtOnce, "has %d keys", len(now.Keys))
			continue
		}
		if a, b := formatPriority(old), formatPriority(now); a != b {
			c.add(AccountChanged, name, AtOnce, "the priority is %s instead of %s", b, a)
		}
		if a, b := formatRegions(old.Regions), formatRegions(now.Regions); a != b {
			c.add(AccountChanged, name, AtOnce, "the regions of its targets are %s instead of %s", b, a)
		}
	}
	c.compareKeys(before, after)
	c.compareAccess(before, after)
}

func formatPriority(a *routetable.Account) string {
	if a.Priority == nil {
		return "that of the route"
	}
	return strconv.Itoa(*a.Priority)
}

func (c *comparison) compareKeys(before, after accountIndex) {
	for _, key := range slices.Sorted(maps.Keys(before.holder)) {
		switch old, now := before.holder[key], after.holder[key]; {
		case now == "" && len(c.after.Accounts) > 0:
			c.add(KeyRevoked, old, AfterDrain, "requests with key %s are answered 401", key)
		case now == "":
			c.add(KeyRevoked, old, AfterDrain, "key %s is removed, and no route needs a key any more", key)
		case now != old:
			c.add(KeyMoved, now, AfterDrain, "key %s was a key of client account %q", key, old)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(after.holder)) {
		if before.holder[key] == "" {
			c.add(KeyAdded, after.holder[key], AtOnce, "key %s", key)
		}
	}
}

// compareAccess reports accounts none of whose keys is accepted any more.
func (c *comparison) compareAccess(before, after accountIndex) {
	if len(c.after.Accounts) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(before.byName)) {
		keys := before.byName[name].Keys
		accepted := func(key string) bool { return after.holder[key] != "" }
		if len(keys) > 0 && !slices.ContainsFunc(keys, accepted) {
			c.add(AccessLost, name, AfterDrain, "none of its %d keys is accepted any more", len(keys))
		}
	}
}
