package daemon

import (
	"expvar"
	"fmt"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/alarm"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

const (
	// startupGrace is the time that a new process has to get its first configuration before an alarm is raised.
	startupGrace = 30 * time.Second
	// configServiceSilenceLimit is how long the configuration service may give no answer. Its answers are at most 30 s
	// apart, since a watch is renewed at least that often.
	configServiceSilenceLimit = 90 * time.Second
	// vmListSilenceLimit is how long reads of the VM list may fail. It is read every second.
	vmListSilenceLimit = 30 * time.Second
	// certificateExpiryNotice is the time before the expiry of a certificate from which on the alarm is raised.
	certificateExpiryNotice = 7 * 24 * time.Hour
	// conditionDuration is how long most conditions must hold before their alarm is raised.
	conditionDuration = 10 * time.Second
)

// newAlarms returns the monitor of the alarm conditions that apply to the role of the process.
func (d *daemon) newAlarms() *alarm.Monitor {
	conditions := slices.Concat(d.platformConditions(), d.certificateConditions())
	if d.serviceRecorder != nil {
		conditions = slices.Concat(conditions, alarm.ServiceConditions(d.serviceRecorder))
	}
	if d.local != nil {
		conditions = slices.Concat(conditions, d.targetConditions())
	}
	return alarm.NewMonitor(port.SystemClock{}, expvar.NewMap("alarms"), conditions)
}

// platformConditions returns the conditions about the configuration and the VM list, which apply to every role.
func (d *daemon) platformConditions() []alarm.Condition {
	return []alarm.Condition{
		{Name: alarm.NoConfiguration, MinDuration: startupGrace, Check: func() (bool, string) {
			return d.config.Current() == nil, "neither the configuration service nor a peer gave a configuration"
		}},
		{Name: alarm.ConfigRejected, Check: func() (bool, string) {
			r := d.sync.Status().Rejected
			if r == nil {
				return false, ""
			}
			return true, fmt.Sprintf("revision %d from %s: %s", r.Revision, r.Origin, r.Reason)
		}},
		{Name: alarm.ConfigConflict, Check: func() (bool, string) {
			c := d.sync.Status().Conflict
			if c == nil {
				return false, ""
			}
			return true, fmt.Sprintf("other content under revision %d at %s, kept out", c.Revision, c.Origin)
		}},
		{Name: alarm.ConfigServiceSilent, MinDuration: conditionDuration, Check: func() (bool, string) {
			return silentTooLong(d.sync.Status().ServiceSeenByAny, d.started, configServiceSilenceLimit)
		}},
		{Name: alarm.VMListSilent, MinDuration: conditionDuration, Check: func() (bool, string) {
			return silentTooLong(d.view.ListedAt(), d.started, vmListSilenceLimit)
		}},
	}
}

// silentTooLong reports whether a source has given no answer for longer than limit, and for how long. The zero time as
// last means that it has not answered since the start of the process.
func silentTooLong(last, started time.Time, limit time.Duration) (bool, string) {
	if last.IsZero() {
		last = started
	}
	age := time.Since(last)
	return age > limit, fmt.Sprintf("no answer for %s", age.Round(time.Second))
}

// certificateCheckInterval is the interval at which the expiry dates of the certificate files are read.
const certificateCheckInterval = time.Minute

// certificateConditions returns the condition about the expiry of the certificates.
func (d *daemon) certificateConditions() []alarm.Condition {
	var nextCheck time.Time
	var detail string
	return []alarm.Condition{{Name: alarm.CertificateExpires, Check: func() (bool, string) {
		if now := time.Now(); now.After(nextCheck) {
			nextCheck, detail = now.Add(certificateCheckInterval), d.certificateProblem(now)
		}
		return detail != "", detail
	}}}
}

// certificateProblem describes the first certificate that is unreadable or expires soon. It returns the empty string if
// there is none.
func (d *daemon) certificateProblem(now time.Time) string {
	t := d.settings.TLS
	for _, files := range []tlsconf.Files{t.Callers, t.Peers, t.Operators} {
		expiry, err := files.Expiry()
		switch {
		case err != nil:
			return err.Error()
		case !expiry.IsZero() && expiry.Sub(now) < certificateExpiryNotice:
			return fmt.Sprintf("%s expires at %s", files.Certificate, expiry.Format(time.RFC3339))
		}
	}
	return ""
}

// targetConditions returns the conditions of a local process about its queue, its engine and its rank group.
func (d *daemon) targetConditions() []alarm.Condition {
	return []alarm.Condition{
		{Name: alarm.QueueLong, MinDuration: conditionDuration, Check: func() (bool, string) {
			snap, load := d.config.Current(), d.local.Load()
			if snap == nil || load.WaitShort <= snap.Preset().MaxWaitShort.Duration {
				return false, ""
			}
			return true, fmt.Sprintf("short work would wait %s; %d running, %d queued", load.WaitShort.Round(time.Millisecond), load.Running, load.Queued)
		}},
		{Name: alarm.EngineCommand, MinDuration: conditionDuration, Check: func() (bool, string) {
			if d.rollout == nil {
				return false, ""
			}
			problem := d.rollout.Version().Problem
			return problem != "", problem
		}},
		{Name: alarm.GroupWaiting, MinDuration: conditionDuration, Check: func() (bool, string) {
			if d.group == nil {
				return false, ""
			}
			s := d.group.status()
			return len(s.Waiting) > 0, fmt.Sprintf("phase %s waits for ranks %v", s.Phase, s.Waiting)
		}},
		{Name: alarm.GroupChange, MinDuration: conditionDuration, Check: func() (bool, string) {
			if d.group == nil {
				return false, ""
			}
			problem := d.group.status().Error
			return problem != "", problem
		}},
	}
}
