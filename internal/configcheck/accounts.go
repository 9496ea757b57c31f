package configcheck

func (k *checker) checkAccounts() {
	names := map[string]bool{}
	holders := map[string]string{}
	for i, a := range k.config.Accounts {
		at := Place{Section: Accounts, Index: i}
		k.checkName(at, a.Name, names)
		at.Field = Keys
		if len(a.Keys) == 0 {
			k.add(Warning, at, "client account %q has no key, so that it has no access", a.Name)
		}
		for n, key := range a.Keys {
			at.Element = n
			other, listed := holders[key]
			switch {
			case key == "":
				k.add(Error, at, "empty key")
			case listed && other == a.Name:
				k.add(Warning, at, "key %s is listed twice", KeyHash(key))
			case listed:
				k.add(Error, at, "key %s is also a key of client account %q", KeyHash(key), other)
			}
			holders[key] = a.Name
		}
	}
}
