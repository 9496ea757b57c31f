package wire

// ConfigHead states which configuration a process has in force.
type ConfigHead struct {
	From     Hello  `json:"from"`
	Revision int64  `json:"revision"`       // 0 before the first configuration
	Hash     string `json:"hash,omitempty"` // hexadecimal SHA-256 of the document

	// ServiceAgeMS is the time since the configuration service last answered any process, as far as this process knows.
	// It is -1 if the service never did.
	ServiceAgeMS int64 `json:"service_age_ms"`

	// Sections are the hashes of the document's sections in order. They are only in a reply to a process that has an
	// older revision.
	Sections []string `json:"sections,omitempty"`
}

// ConfigFetch asks for sections of a configuration document by their hashes.
type ConfigFetch struct {
	Hash     string   `json:"hash"` // of the document
	Sections []string `json:"sections"`
}

// ConfigSections answers ConfigFetch with the first of the requested sections, as many as fit into one message.
// It is empty if the process now has another document.
type ConfigSections struct {
	Bodies []string `json:"bodies"`
}
