// Package gateway is the HTTP proxy between callers and targets, on a platform whose targets can refuse a request
// themselves. It matches each request to a route, has package balance choose a target, sends the request directly to
// that target, and passes the answer back. A request that failed goes to another target only if it is certain not to
// have run or if its route allows it to run more than once.
//
// The names and meanings of the platform's headers are behind the interface HeaderTranslator.
package gateway

import (
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/quarantine"
)

// Call holds the information in the headers of a caller's request.
type Call struct {
	ID           string        // of this attempt of the caller
	Key          string        // of the client account; empty without one
	Wait         time.Duration // time for which the caller waits for the answer; 0 if unstated
	PromptTokens int           // 0 if unstated
	// PromptParts are the parts of the prompt that other requests may share.
	PromptParts []quarantine.Part
	// PromptPrefixes are the beginnings of the prompt that consist of such parts, shortest first.
	PromptPrefixes []promptcache.Prefix
	ResumeAfter    string // id of the last event that the caller has; empty if it wants the whole stream
}

// Forward holds the information that the system adds to the headers of a request to a target.
type Forward struct {
	Account     string        // empty if the route needs no key
	Target      string        // id of the only target that may run the request
	Wait        time.Duration // time that is left for the answer
	Priority    int           // 0 is the most urgent
	ResumeAfter string        // id of the last event that the caller has; if not empty, it replaces the caller's
}

// Answer holds the information in the headers of a target's answer.
type Answer struct {
	ID          string // of the request that is answered; empty if unstated
	Stamped     bool   // carries the target's signature
	NotRun      bool   // the target promises not to have run the request, nor to run it later
	OtherTarget bool   // the status says that another target was meant
	TargetID    string // of the target that answers; empty if unstated
	Leaving     bool   // the target leaves and wants no further requests
	// Quiet is the time for which the target wants no request from this process. 0 if it does not ask for this.
	Quiet   time.Duration
	Cold    time.Duration // time for which the target stays cold; 0 if it is not or does not say so
	Encoded bool          // the body has a content encoding, so it is not in the bytes that the target wrote
}

// HeaderTranslator translates between the headers of the platform and the types of this package.
type HeaderTranslator interface {
	Call(h http.Header) Call
	// Forward returns the headers of a request to a target: those of the caller, without hop-by-hop headers and without
	// those that only the system may set, and those that state f.
	Forward(h http.Header, f Forward) http.Header
	Answer(status int, h http.Header) Answer
	// CopyAnswerHeaders copies those headers of a target's answer that are passed on to the caller.
	CopyAnswerHeaders(to, from http.Header)
	// Refuse sets the headers of an answer that comes from the system itself, for the request with the id.
	Refuse(h http.Header, id string)
}
