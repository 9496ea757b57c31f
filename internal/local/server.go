package local

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/reqbody"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// maxAttemptBytes bounds the encoded body of an attempt. It leaves room for one text of the largest size, in which
	// JSON encodes each control character in six bytes, and for the other fields, such as names of at most 200 characters.
	maxAttemptBytes = 6*wire.MaxTextBytes + 64<<10
	// bodyReadTimeout bounds the time to read a request body. The server's ReadTimeout would also end responses that stream for
	// longer.
	bodyReadTimeout = 5 * time.Second
	// frameWriteTimeout bounds the write of one frame, so that an entry that doesn't read its response doesn't occupy a
	// connection and its handler for long.
	frameWriteTimeout = 10 * time.Second
)

// Handler returns the handler of the data listener, on which entries send attempts and resume broken responses.
func (l *Local) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AttemptPath, l.serveAttempt)
	mux.HandleFunc("POST "+wire.ResumePath, l.serveResume)
	return reqbody.Handler(mux, reqbody.Bounds{Memory: l.opt.Memory, Bytes: maxAttemptBytes, Time: bodyReadTimeout, Account: senderHost,
		Refuse: func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no memory for the request at present", http.StatusServiceUnavailable)
		}})
}

// senderHost returns the address of the VM that has sent a request, whose requests share memory like those of an account.
func senderHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (l *Local) serveAttempt(w http.ResponseWriter, r *http.Request) {
	var a wire.Attempt
	if !readJSON(w, r, &a) {
		return
	}
	if problem := l.validate(a); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	l.writeFrames(w, r, l.Submit(a), a.ID, 0)
}

// validate describes what is wrong with an attempt, or returns the empty string. A correct entry sends only valid
// attempts.
func (l *Local) validate(a wire.Attempt) string {
	kind := wire.KindDraft
	if l.opt.Service != nil {
		kind = wire.KindCall
	}
	switch {
	case a.ID.Request == "" || a.ID.Number < 1 || a.ID.Number > math.MaxInt32:
		return "malformed attempt id"
	case a.Kind != kind:
		return "the target does not serve this kind of work"
	case a.MaxTokens < 0 || a.MaxTokens > math.MaxInt32:
		return "max_tokens out of range"
	}
	return ""
}

func (l *Local) serveResume(w http.ResponseWriter, r *http.Request) {
	var q wire.Resume
	if !readJSON(w, r, &q) {
		return
	}
	run := l.table.Find(q.ID)
	if run == nil || q.Incarnation != l.opt.Incarnation {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	l.writeFrames(w, r, run, q.ID, q.FromSeq)
}

// readJSON decodes a request body into v and reports whether that succeeded; if not, it has answered the request.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAttemptBytes)).Decode(v)
	if err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeFrames streams the frames of a run, from the sequence number fromSeq on, to an entry.
func (l *Local) writeFrames(w http.ResponseWriter, r *http.Request, run *attempt.Run, id wire.AttemptID, fromSeq int) {
	w.Header().Set("Content-Type", wire.FrameContentType)
	enc := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	// An error means that the entry has disconnected. Follow has then already dropped the run or recorded that it has no
	// follower.
	_ = run.Follow(r.Context(), id, fromSeq, func(f wire.Frame) error {
		if f.Seq == fromSeq || f.Kind != wire.FrameText {
			f.Load = l.Load()
		}
		if f.Kind == wire.FrameRefused {
			l.opt.Refusals.Add(f.Reason)
		}
		_ = controller.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
		if err := enc.Encode(f); err != nil {
			return err
		}
		return controller.Flush()
	})
	_ = controller.SetWriteDeadline(time.Time{})
}
