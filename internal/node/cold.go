package node

import (
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/coldstart"
	"github.com/camphorbank/camphorbank/internal/metrics"
)

// newColdLimiter returns the limiter of requests to cold targets for a process with the settings.
func newColdLimiter(s *Settings) *coldstart.Limiter {
	l := coldstart.New(coldBounds(s.Bounds), s.FirstStart, time.Now())
	l.Notify = logCold
	return l
}

// coldBounds returns the limits of the deployment for cold targets.
func coldBounds(b DeploymentLimits) coldstart.Bounds {
	return coldstart.Bounds{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

// logCold logs and counts an event of the limiter of requests to cold targets.
func logCold(e coldstart.Event) {
	metrics.ColdEvents.Add(string(e.Kind), 1)
	f := log.Fields{"event": e.Kind, "service": e.Service, "target": e.Target}
	if e.For > 0 {
		f["for"] = e.For
	}
	log.WithFields(f).Info("cold")
}
