package status

import (
	"context"
	"time"

	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Service is the quality of service that the callers of all entries got within a window.
type Service struct {
	report.Report
	Entries     int           `json:"entries"` // entries whose reports are merged
	Unreachable []Unreachable `json:"unreachable"`
}

// CollectService asks every entry of the list for its report of the window, and merges the reports.
func CollectService(ctx context.Context, vms []wire.VM, window time.Duration, ask func(ctx context.Context, addr string) (report.Report, error)) (*Service, error) {
	answers, unreachable := Ask(ctx, entryVMs(vms), ask)
	reports := make([]report.Report, len(answers))
	for i, a := range answers {
		reports[i] = a.Value
	}
	merged, err := report.Merge(window, reports)
	return &Service{Report: merged, Entries: len(reports), Unreachable: unreachable}, err
}
