// Package design describes the callers' API of a camphorbank entry process for the goa generator.
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

// Refusal is the body of every answer that is not a completed one.
var Refusal = Type("Refusal", func() {
	Description("States why a request was not completed and whether it may have run.")
	ErrorName("name", String, "Name of the error", func() { Meta("struct:error:name") })
	Attribute("outcome", String, "not-run or unknown", func() { Enum("not-run", "unknown") })
	Attribute("reason", String, "Reason from the closed list in docs/OPERATIONS.md")
	Attribute("message", String, "Explanation for a person")
	Attribute("request_id", String, "Request id made by the entry")
	Attribute("retry_after_s", Int, "Seconds after which a retry makes sense; 0 or absent if none does")
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

func declareErrors() {
	for _, e := range refusalErrors {
		Error(e.name, Refusal)
	}
}

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

func authorization() {
	Attribute("authorization", String, "Bearer key of the client account")
}

func draftAttributes() {
	authorization()
	Attribute("model", String, "Model name", func() { MinLength(1); MaxLength(200) })
	Attribute("adapter", String, "Adapter name", func() { MaxLength(200) })
	Attribute("prompt", String, "Prompt", func() { MinLength(1); MaxLength(262144) })
	Attribute("max_tokens", Int, "Upper bound on generated tokens", func() { Minimum(1); Maximum(100000) })
	Attribute("deadline_ms", Int, "Milliseconds in which the whole answer is useful; the preset's deadline if absent", func() { Minimum(1); Maximum(3600000) })
	Attribute("client_request_id", String, "Identifier chosen by the caller and echoed in the answer", func() { MaxLength(200) })
	Required("model", "prompt", "max_tokens")
}

// DraftResult is a complete answer of a model.
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
	eventAttribute("text", String, "With text")
	eventAttribute("tokens", Int, "With end: number of generated tokens")
	eventAttribute("text_hash", String, "With end: xxhash64 of the whole text in hexadecimal")
	eventAttribute("outcome", String, "With end and error")
	eventAttribute("reason", String, "With error")
	eventAttribute("message", String, "With error: explanation for a person")
	eventAttribute("retry_after_s", Int, "With error")
	Required("kind", "request_id", "seq")
})

// eventAttribute declares an attribute with a JSON tag on the generated service type: the generated client
// decodes server-sent events into that type, whose fields have no tags otherwise, and would lose every
// attribute whose name has an underscore.
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

// CallResult is the answer of a plain service.
var CallResult = Type("CallResult", func() {
	Attribute("outcome", String, "Always completed")
	Attribute("request_id", String)
	Attribute("status", Int, "HTTP status of the service")
	Attribute("body", String, "Body of the service's answer")
	Attribute("target", String, "Target that produced the answer")
	Attribute("repeated", Boolean, "True if the answer was kept from an earlier request with the same ticket")
	Attribute("retry_after_s", Int, "Seconds after which the service wants a repeat, if it said so")
	Required("outcome", "request_id", "status", "body", "target", "repeated")
})

var _ = Service("camphorbank", func() {
	Description("Drafts by models and calls of plain services.")
	declareErrors()
	HTTP(func() {
		Path("/v1")
	})

	Method("draft", func() {
		Description("Returns a whole draft in one piece.")
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
			Attribute("deadline_ms", Int, "Milliseconds in which the answer is useful; the preset's deadline if absent", func() { Minimum(1); Maximum(3600000) })
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
