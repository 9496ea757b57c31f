// Package gateway serves callers on a platform whose targets refuse requests by themselves: it matches each request to a
// route, sends it straight to a target, and passes the answer back.
package gateway

import (
	"net/http"
	"time"
)

// Call is what the headers of a caller's request state.
type Call struct {
	ID           string        // of this client attempt
	Key          string        // of the client account; empty without one
	Wait         time.Duration // time that the client waits; 0 if unstated
	PromptTokens int           // 0 if unstated
}

// Forward is what a request states towards a target.
type Forward struct {
	Account     string // empty if the route needs no key
	Target      string // id of the target that may run it
	Wait        time.Duration
	Priority    int    // 0 is the most urgent
	ResumeAfter string // overrides the caller's if not empty
}

// Answer is what the headers of a target's answer state.
type Answer struct {
	ID          string // of the request that it belongs to; empty if unstated
	Stamped     bool   // carries the target's signature
	NotRun      bool   // the target promises not to have run the request, nor to run it later
	OtherTarget bool   // another target has the address
	Encoded     bool   // the body is not the target's own bytes
}

// Dialect translates the headers of requests and answers.
type Dialect interface {
	Call(h http.Header) Call
	// Forward returns the headers for a target: those of the caller without the ones that concern one connection or
	// that the system sets itself.
	Forward(h http.Header, f Forward) http.Header
	Answer(status int, h http.Header) Answer
	// Return copies the headers of a target's answer that the caller gets.
	Return(to, from http.Header)
	// Refuse sets the headers of the system's own answer.
	Refuse(h http.Header, id string)
}
