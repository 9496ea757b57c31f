package caller

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/server"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/reqbody"
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
	bounded := reqbody.Handler(mux, reqbody.Bounds{Memory: s.Memory, Bytes: maxBodyBytes, Time: bodyTimeout, Account: s.accountName,
		Refuse: s.refuseUnread})
	return withReply(bounded, cmp.Or(s.WriteTimeout, defaultWriteTimeout))
}

// accountName returns the name of the client account of a request, or an empty one if its key belongs to none.
func (s *Service) accountName(r *http.Request) string {
	snapshot := s.Config.Current()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if snapshot == nil || !ok {
		return ""
	}
	if a := snapshot.AccountByKey(key); a != nil {
		return a.Name
	}
	return ""
}

// memoryRetryAfter is the time after which a caller may try again whose request the process had no memory for.
const memoryRetryAfter = time.Second

// refuseUnread refuses a request for whose body the process has no memory. Whether a call has a ticket is not known then, so that
// its outcome is that of a call with one.
func (s *Service) refuseUnread(w http.ResponseWriter, r *http.Request) {
	refusal := &entry.Refusal{Outcome: outcome.NotRun, Reason: outcome.MemoryUsedUp, RequestID: requestIDFromContext(r.Context()),
		Message: "the process has no memory for the request at present", RetryAfter: memoryRetryAfter}
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		refusal.Outcome = outcome.Unknown
	}
	s.writeRefusal(w, refusal, 0)
}

// refuseUnrouted returns a handler that refuses every request with the status and message.
func (s *Service) refuseUnrouted(status int, message string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		refusal := &entry.Refusal{Outcome: outcome.NotRun, Reason: outcome.Invalid, RequestID: requestIDFromContext(r.Context()),
			Message: fmt.Sprintf("%s %.100s: %s", r.Method, r.URL.Path, message)}
		s.writeRefusal(w, refusal, status)
	}
}

// writeRefusal counts a refusal and answers a request with it. A status of 0 is that of the refusal.
func (s *Service) writeRefusal(w http.ResponseWriter, refusal *entry.Refusal, status int) {
	s.Entry.Refuse(refusal)
	var r *api.Refusal
	_ = errors.As(refusalError(refusal), &r)
	body := newRefusalBody(r)
	setRefusalHeaders(w.Header(), r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(cmp.Or(status, body.StatusCode()))
	_ = json.NewEncoder(w).Encode(body)
}

// bodyDecoder decodes a request body that must consist of one JSON value. An unknown field is an error, so that a
// misspelt deadline or ticket is not ignored.
type bodyDecoder struct{ r *http.Request }

func newBodyDecoder(r *http.Request) goahttp.Decoder { return bodyDecoder{r} }

// Decode decodes the body into v.
func (d bodyDecoder) Decode(v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, d.r.Body, maxBodyBytes))
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
