package port

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// TargetError means that a target answered with an HTTP status instead of a usable response.
type TargetError struct {
	Status     int
	RetryAfter time.Duration // from the Retry-After header; 0 if there is none
}

// Error describes the failure.
func (e *TargetError) Error() string { return fmt.Sprintf("target answered status %d", e.Status) }

// RetryAfter returns the delay in the Retry-After header, which holds seconds or a date. It returns 0 if the header is
// missing or malformed.
func RetryAfter(h http.Header, now time.Time) time.Duration {
	value := h.Get("Retry-After")
	if s, err := strconv.Atoi(value); err == nil {
		return time.Duration(max(0, s)) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
