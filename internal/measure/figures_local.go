package measure

// localFigures lists the figures of the local process: admission and drain.
func localFigures() []Figure {
	return []Figure{
		{"crest_goodput", crestGoodput},
		{"crest_refusal_p95_ms", crestRefusal},
		{"short_wait_p95", shortWait},
		{"drain_new_work_s", drainNewWork},
	}
}
