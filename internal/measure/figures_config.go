package measure

import "slices"

// configFigures lists the figures of the configuration exchange.
func configFigures() []Figure {
	return slices.Concat([]Figure{
		{"config_propagation_s", configPropagation},
		{"config_propagation_outage_s", configPropagationOutage},
	}, controlFigures())
}
