package caller

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/server"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/outcome"
)

const (
	// maxBodyBytes bounds the body of a request. JSON escapes can make a text of 256 KiB six times as long.
	maxBodyBytes = 2 << 20
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 10 * time.Second
)

// unroutedHandlers has the methods of goa's muxer that set the handlers of requests without a route.
type unroutedHandlers interface {
	NotFound(http.HandlerFunc)
	MethodNotAllowed(http.HandlerFunc)
}

// Handler returns the HTTP handler of the API. Every reply states the id of the request and its outcome.
func (s *Service) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	if unrouted, ok := mux.(unroutedHandlers); ok {
		unrouted.NotFound(s.refuseUnrouted(http.StatusNotFound, "no such path"))
		unrouted.MethodNotAllowed(s.refuseUnrouted(http.StatusMethodNotAllowed, "method not allowed for this path"))
	}
	srv := server.New(api.NewEndpoints(s), mux, newBodyDecoder, goahttp.ResponseEncoder, nil, s.formatError)
	server.Mount(mux, srv)
	return withReply(mux, cmp.Or(s.WriteTimeout, defaultWriteTimeout))
}

// refuseUnrouted returns a handler that refuses every request with the status and message.
func (s *Service) refuseUnrouted(status int, message string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		refusal := &entry.Refusal{Outcome: outcome.NotRun, Reason: outcome.Invalid, RequestID: requestIDFromContext(r.Context()),
			Message: fmt.Sprintf("%s %.100s: %s", r.Method, r.URL.Path, message)}
		s.Entry.Refuse(refusal)
		var body *api.Refusal
		_ = errors.As(refusalError(refusal), &body)
		setRefusalHeaders(w.Header(), body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(newRefusalBody(body))
	}
}

// bodyDecoder decodes a request body that must consist of one JSON value. An unknown field is an error, so that a
// misspelt deadline or ticket is not ignored.
type bodyDecoder struct{ r *http.Request }

func newBodyDecoder(r *http.Request) goahttp.Decoder { return bodyDecoder{r} }

// Decode reads the body into v within the limits of size and time.
func (d bodyDecoder) Decode(v any) error {
	rep := replyFromContext(d.r.Context())
	if rep != nil {
		_ = rep.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
		// After the body, net/http keeps reading to detect that the caller disconnects. The deadline must not end this.
		defer func() { _ = rep.controller.SetReadDeadline(time.Time{}) }()
	}
	body := http.MaxBytesReader(rep, d.r.Body, maxBodyBytes)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return goa.DecodePayloadError("body: more than one JSON value")
	}
	return nil
}

// decodeError turns an error of reading or decoding the body into an error of goa that names the invalid field or the
// body.
func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return goa.DecodePayloadError(fmt.Sprintf("body: larger than %d bytes", tooLarge.Limit))
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return goa.DecodePayloadError(fmt.Sprintf("%s: must be %s, not %s", wrongType.Field, wrongType.Type, wrongType.Value))
	}
	return goa.DecodePayloadError("body: " + err.Error())
}
