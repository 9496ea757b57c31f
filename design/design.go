// Package design describes the HTTP API that entry processes serve to callers. The goa generator makes the server, the
// client and the OpenAPI documents in gen/ from it: run go tool goa gen github.com/camphorbank/camphorbank/design after
// a change.
package design

import (
	. "goa.design/goa/v3/dsl"
	"goa.design/goa/v3/expr"
)

var _ = API("camphorbank", func() {
	Title("camphorbank")
	Description("Callers' API of the camphorbank load balancer.")
	Server("entry", func() {
		Services("camphorbank")
		Host("loopback", func() { URI("http://127.0.0.1:8080") })
	})
})

// Refusal is the body of every answer to a request that was not completed.
var Refusal = Type("Refusal", func() {
	Description("States why a request was not completed and whether it may have run.")
	ErrorName("name", String, "Name of the error", func() { Meta("struct:error:name") })
	Attribute("outcome", String, "not-run or unknown", func() { Enum("not-run", "unknown") })
	Attribute("reason", String, "Reason from the closed list in docs/OPERATIONS.md")
	Attribute("message", String, "Human-readable explanation")
	Attribute("request_id", String, "Request id made by the entry")
	Attribute("retry_after_s", Int, "Seconds to wait before a retry; 0 or absent if a retry does not help")
	Required("name", "outcome", "reason", "message", "request_id")
})

// refusalErrors lists the error names with their HTTP status codes.
var refusalErrors = []struct {
	name   string
	status int
}{
	{"invalid", StatusBadRequest},
	{"unauthenticated", StatusUnauthorized},
	{"not_found", StatusNotFound},
	{"conflict", StatusConflict},
	{"too_many_requests", StatusTooManyRequests},
	{"unavailable", StatusServiceUnavailable},
	{"outcome_unknown", StatusBadGateway},
}

// declareErrors declares the errors that all methods of the service can return.
func declareErrors() {
	for _, e := range refusalErrors {
		Error(e.name, Refusal)
	}
}

// mapErrors maps the errors to HTTP responses. Each method needs it within its HTTP function.
func mapErrors() {
	for _, e := range refusalErrors {
		Response(e.name, e.status, func() {
			Header("outcome:Camphorbank-Outcome")
			Header("reason:Camphorbank-Reason")
			Header("request_id:Camphorbank-Request-Id")
			Header("retry_after_s:Retry-After")
			Body(Refusal)
		})
	}
}

// authorization declares the attribute that carries the caller's key.
func authorization() {
	Attribute("authorization", String, "Bearer key of the client account")
}

// draftAttributes declares the payload that draft and draft_stream have in common.
func draftAttributes() {
	authorization()
	Attribute("model", String, "Model name", func() { MinLength(1); MaxLength(200) })
	Attribute("adapter", String, "Adapter name", func() { MaxLength(200) })
	Attribute("prompt", String, "Prompt", func() { MinLength(1); MaxLength(262144) })
	Attribute("max_tokens", Int, "Upper bound on generated tokens", func() { Minimum(1); Maximum(100000) })
	Attribute("deadline_ms", Int, "Milliseconds within which the whole answer must arrive to be useful; the preset's deadline if absent", func() { Minimum(1); Maximum(3600000) })
	Attribute("client_request_id", String, "Identifier chosen by the caller and echoed in the answer", func() { MaxLength(200) })
	Required("model", "prompt", "max_tokens")
}

// DraftResult is a complete draft, which is a text that a model generated for a prompt.
var DraftResult = Type("DraftResult", func() {
	Attribute("outcome", String, "Always completed")
	Attribute("request_id", String)
	Attribute("client_request_id", String)
	Attribute("text", String)
	Attribute("tokens", Int, "Number of generated tokens")
	Attribute("text_hash", String, "xxhash64 of the text in hexadecimal")
	Attribute("target", String, "Target that produced the answer")
	Required("outcome", "request_id", "text", "tokens", "text_hash", "target")
})

// DraftEvent is one event of a streamed answer.
var DraftEvent = Type("DraftEvent", func() {
	eventAttribute("kind", String, "text, restart, end or error", func() { Enum("text", "restart", "end", "error") })
	eventAttribute("request_id", String, "Request id made by the entry")
	eventAttribute("client_request_id", String, "Identifier chosen by the caller")
	eventAttribute("seq", Int, "Number of the text event since the last restart, from 0")
	eventAttribute("text", String, "In text events: next part of the text")
	eventAttribute("tokens", Int, "In end events: number of generated tokens")
	eventAttribute("text_hash", String, "In end events: xxhash64 of the whole text in hexadecimal")
	eventAttribute("outcome", String, "In end events: completed; in error events: not-run or unknown")
	eventAttribute("reason", String, "In error events: reason, as in a refusal")
	eventAttribute("message", String, "In error events: human-readable explanation")
	eventAttribute("retry_after_s", Int, "In error events: seconds to wait before a retry, as in a refusal")
	Required("kind", "request_id", "seq")
})

// eventAttribute declares an attribute and gives its field in the generated service type a JSON tag. The generated
// client decodes server-sent events into that type. Without tags, it would lose every attribute whose name contains an
// underscore.
func eventAttribute(name string, typ expr.DataType, description string, more ...func()) {
	Attribute(name, typ, description, func() {
		Meta("struct:tag:json", name+",omitempty")
		for _, f := range more {
			f()
		}
	})
}

// TicketResult permits one run of a non-idempotent operation.
var TicketResult = Type("TicketResult", func() {
	Attribute("outcome", String, "Always completed")
	Attribute("request_id", String)
	Attribute("ticket", String, "Opaque ticket")
	Attribute("service", String)
	Attribute("expires_in_s", Int, "Seconds until the ticket expires")
	Required("outcome", "request_id", "ticket", "service", "expires_in_s")
})

// CallResult is the answer of a plain service, which is a target that runs no model.
var CallResult = Type("CallResult", func() {
	Attribute("outcome", String, "Always completed")
	Attribute("request_id", String)
	Attribute("status", Int, "HTTP status of the service")
	Attribute("body", String, "Body of the service's answer")
	Attribute("target", String, "Target that produced the answer")
	Attribute("repeated", Boolean, "True if this is the stored answer of an earlier request with the same ticket")
	Attribute("retry_after_s", Int, "Seconds to wait before a retry, if the service stated them")
	Required("outcome", "request_id", "status", "body", "target", "repeated")
})

var _ = Service("camphorbank", func() {
	Description("Requests drafts from models and calls operations of plain services.")
	declareErrors()
	HTTP(func() {
		Path("/v1")
	})

	Method("draft", func() {
		Description("Returns a complete draft in one response.")
		Payload(func() { draftAttributes() })
		Result(DraftResult)
		HTTP(func() {
			POST("/drafts")
			Header("authorization:Authorization")
			mapErrors()
			Response(StatusOK, func() {
				Header("outcome:Camphorbank-Outcome")
				Header("request_id:Camphorbank-Request-Id")
				Body(DraftResult)
			})
		})
	})

	Method("draft_stream", func() {
		Description("Streams a draft as server-sent events.")
		Payload(func() { draftAttributes() })
		StreamingResult(DraftEvent)
		HTTP(func() {
			POST("/drafts/stream")
			Header("authorization:Authorization")
			mapErrors()
			ServerSentEvents()
			Response(StatusOK)
		})
	})

	Method("ticket", func() {
		Description("Issues a ticket for one run of a non-idempotent operation.")
		Payload(func() {
			authorization()
			Attribute("service", String, "Plain service", func() { MinLength(1); MaxLength(200) })
			Required("service")
		})
		Result(TicketResult)
		HTTP(func() {
			POST("/tickets")
			Header("authorization:Authorization")
			mapErrors()
			Response(StatusOK, func() {
				Header("outcome:Camphorbank-Outcome")
				Header("request_id:Camphorbank-Request-Id")
				Body(TicketResult)
			})
		})
	})

	Method("call", func() {
		Description("Calls an operation of a plain service.")
		Payload(func() {
			authorization()
			Attribute("service", String, "Plain service")
			Attribute("operation", String, "Operation of the service")
			Attribute("body", String, "Body for the service", func() { MaxLength(262144) })
			Attribute("deadline_ms", Int, "Milliseconds within which the answer must arrive to be useful; the preset's deadline if absent", func() { Minimum(1); Maximum(3600000) })
			Attribute("ticket", String, "Ticket for a non-idempotent operation", func() { MaxLength(2000) })
			Required("service", "operation", "body")
		})
		Result(CallResult)
		HTTP(func() {
			POST("/services/{service}/{operation}")
			Header("authorization:Authorization")
			mapErrors()
			Response(StatusOK, func() {
				Header("outcome:Camphorbank-Outcome")
				Header("request_id:Camphorbank-Request-Id")
				Header("retry_after_s:Retry-After")
				Body(CallResult)
			})
		})
	})
})
