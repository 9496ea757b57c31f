package gateway_test

import (
	"context"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

const (
	// silenceLimit is the time limit of requests whose target falls silent. It includes the time until the target has sent
	// what comes before the silence, and some hundred of these requests run at a time: with 1.5 s, beside six busy
	// processes, the limit had passed before the gateway had the start of a large answer, or a connection.
	silenceLimit = 5 * time.Second
	// soundLimit bounds all other exchanges. It is long, since a busy machine must not change how they end.
	soundLimit = 30 * time.Second
	// largeBytes is more than the gateway keeps of an answer before it passes it on.
	largeBytes = 300 << 10
)

// firstEvents are the ids of the events of the first target. Ids may have gaps.
var firstEvents = []int{1, 2, 4, 5}

// eventText returns an event as both targets send it.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: a%d\ndata: b%d\n\n", id, id, id) }

func eventTexts(ids []int) (parts []string) {
	for _, id := range ids {
		parts = append(parts, eventText(id))
	}
	return parts
}

// breakPlace is a place at which the answer of the first target breaks off.
type breakPlace struct {
	name         string
	inHead       bool
	parts, bytes int // whole parts of the body, and bytes of the next one, before the break
	large        bool
}

var streamPlaces = []breakPlace{
	{name: "in the head", inHead: true},
	{name: "before the first event"},
	{name: "inside the first event", bytes: len("id: 1\nda")},
	{name: "after the first line of the first event", bytes: len("id: 1\n")},
	{name: "inside an event", parts: 2, bytes: len("id: 4\ndata: a4\nda")},
	{name: "after the first line of an event", parts: 2, bytes: len("id: 4\n")},
	{name: "before the blank line of an event", parts: 2, bytes: len(eventText(4)) - 1},
	{name: "between events", parts: 2},
	{name: "after the last event", parts: len(firstEvents)},
}

var wholePlaces = []breakPlace{
	{name: "in the head", inHead: true},
	{name: "before the body"},
	{name: "in the body", parts: 1, bytes: 2},
	{name: "in a large body", parts: 1, bytes: 2, large: true},
}

// secondAnswer is the answer of the second target.
type secondAnswer struct {
	name    string
	status  int
	framing target.Framing
	header  string
	body    string
	events  func(last int) []int // ids after the event that the caller has; nil for an answer that is no stream
}

func eventRange(from, to int) (ids []int) {
	for id := from; id <= to; id++ {
		ids = append(ids, id)
	}
	return ids
}

func noEvents(int) []int { return nil }

var secondAnswers = []secondAnswer{
	{name: "goes on", status: 200, framing: target.FramedByChunks, events: func(last int) []int { return eventRange(last+1, 7) }},
	{name: "goes on with a length", status: 200, framing: target.FramedByLength, events: func(last int) []int { return eventRange(last+1, 7) }},
	{name: "goes on to the end of its connection", status: 200, framing: target.FramedByConnection,
		events: func(last int) []int { return eventRange(last+1, 7) }},
	{name: "404", status: 404, framing: target.FramedByLength},
	{name: "500", status: 500, framing: target.FramedByLength},
	{name: "302", status: 302, framing: target.FramedByLength, header: "Location: /elsewhere\r\n"},
	{name: "204", status: 204, framing: target.FramedByConnection},
	{name: "500 with a blank line", status: 500, framing: target.FramedByLength, body: "id: 9\ndata: out of memory\n\n"},
	{name: "503 without a promise", status: 503, framing: target.FramedByLength},
	{name: "503 that promises", status: 503, framing: target.FramedByLength, header: target.HeaderNotRun + ": 1\r\n"},
	{name: "begins again", status: 200, framing: target.FramedByChunks, events: func(int) []int { return eventRange(1, 7) }},
	{name: "goes on after a gap", status: 200, framing: target.FramedByChunks,
		events: func(last int) []int { return []int{last + 3, last + 5} }},
	{name: "no event, length", status: 200, framing: target.FramedByLength, events: noEvents},
	{name: "no event, chunks", status: 200, framing: target.FramedByChunks, events: noEvents},
	{name: "no event, end of its connection", status: 200, framing: target.FramedByConnection, events: noEvents},
}

// parts returns the body of the answer to a request to go on after an event.
func (s secondAnswer) parts(last int) []string {
	if s.events != nil {
		return eventTexts(s.events(last))
	}
	if s.body != "" {
		return []string{s.body}
	}
	return nil
}

// send is the behaviour of the second target.
func (s secondAnswer) send(c net.Conn, a target.Arrival) bool {
	last, _ := strconv.Atoi(a.Header.Get("Last-Event-Id"))
	header := s.header
	if s.status == 200 {
		header += "Content-Type: text/event-stream\r\n"
	}
	return target.Reply{Status: s.status, Header: header, Framing: s.framing, Parts: s.parts(last)}.Send(c, a)
}

// brokenCase is one combination of a route, a break of the first target's answer and an answer of the second target.
type brokenCase struct {
	path    string
	framing target.Framing
	place   breakPlace
	way     target.Way
	second  secondAnswer
}

func (c brokenCase) isStream() bool { return c.path == "/stream/x" || c.path == "/once/x" }

// runsOnce states that at most one target may get the request.
func (c brokenCase) runsOnce() bool { return c.path == "/once/x" || c.path == "/unsafe/x" }

// parts returns the body of the first target's answer.
func (c brokenCase) parts() []string {
	switch {
	case c.isStream():
		return eventTexts(firstEvents)
	case c.place.large:
		return []string{strings.Repeat("a", largeBytes), "the end"}
	}
	return []string{"the start, ", "the end"}
}

// sent returns the part of the body that the first target sends.
func (c brokenCase) sent() string {
	if c.place.inHead {
		return ""
	}
	parts := c.parts()
	sent := strings.Join(parts[:c.place.parts], "")
	if c.place.bytes > 0 {
		sent += parts[c.place.parts][:c.place.bytes]
	}
	return sent
}

// first returns the behaviour of the first target. passed is closed when the caller has what it is to get before the
// break; a reset can otherwise overtake it.
func (c brokenCase) first(passed <-chan struct{}) target.Behaviour {
	header := ""
	if c.isStream() {
		header = "Content-Type: text/event-stream\r\n"
	}
	b := &target.Break{InHead: c.place.inHead, Parts: c.place.parts, Bytes: c.place.bytes, Way: c.way}
	if c.way == target.ByReset && (c.isStream() || c.place.large) {
		b.Before = func() {
			select {
			case <-passed:
			case <-time.After(soundLimit):
			}
		}
	}
	return target.Reply{Status: 200, Header: header, Framing: c.framing, Parts: c.parts(), Unsent: 1, Break: b}.Send
}

// expected is what the caller may see.
type expected struct {
	status   int
	ownError bool   // the answer comes from the gateway itself
	body     string // of the targets
	complete bool
	prefix   bool // of an incomplete answer, a part of body is enough
	anyEnd   bool // whether the answer is complete cannot be known
	second   bool // the second target is asked
}

func ownAnswer(status int, second bool) expected {
	return expected{status: status, ownError: true, complete: true, second: second}
}

// looksComplete reports whether the first target's answer cannot be told from a complete one.
func (c brokenCase) looksComplete() bool {
	if c.framing != target.FramedByConnection || c.way != target.ByClose || c.place.inHead {
		return false
	}
	return !c.isStream() || c.place.parts > 0 && c.place.bytes == 0
}

// asksSecond reports whether the second target may be asked.
func (c brokenCase) asksSecond() bool {
	return !c.runsOnce() && c.way != target.BySilence && !c.looksComplete() && !c.place.large
}

// expected returns what the caller may see. It follows from the rules for complete answers alone.
func (c brokenCase) expected() expected {
	passed := c.sent() // the part of it that the caller gets
	if c.isStream() {
		passed = strings.Join(eventTexts(firstEvents[:c.place.parts]), "")
	}
	begun := c.isStream() && passed != "" || c.place.large
	switch {
	case c.looksComplete():
		return expected{status: 200, body: passed, complete: true}
	case c.asksSecond() && begun:
		return c.continued(passed)
	case c.asksSecond():
		return c.answeredBySecond()
	case begun:
		return expected{status: 200, body: passed, prefix: c.place.large}
	case c.way == target.BySilence:
		return ownAnswer(504, false)
	}
	return ownAnswer(502, false)
}

// continued returns what the caller may see if it has got events of the first target.
func (c brokenCase) continued(passed string) expected {
	want := expected{status: 200, body: passed, second: true}
	if c.second.events == nil {
		return want
	}
	last := firstEvents[c.place.parts-1]
	ids := c.second.events(last)
	if len(ids) == 0 {
		// If another event has begun, something is left. A reset may take the bytes with it that show this.
		want.complete = c.second.framing != target.FramedByConnection && c.place.bytes == 0
		want.anyEnd = c.second.framing != target.FramedByConnection && c.place.bytes > 0 && c.way == target.ByReset
		return want
	}
	if c.place.bytes > 0 && ids[0] > firstEvents[c.place.parts] {
		if c.way != target.ByReset {
			return want // the event that had begun is left out
		}
		want.anyEnd, want.prefix = true, true // a reset may take its id with it
	}
	for _, id := range ids {
		if id <= last {
			return want
		}
		want.body += eventText(id)
		last = id
	}
	want.complete = true
	return want
}

// answeredBySecond returns what the caller may see if it has got nothing of the first target.
func (c brokenCase) answeredBySecond() expected {
	body := strings.Join(c.second.parts(0), "")
	noEvent := c.second.events != nil && body == ""
	if c.second.status == 503 || noEvent && (c.isStream() || c.second.framing == target.FramedByConnection) {
		return ownAnswer(502, true)
	}
	return expected{status: c.second.status, body: body, complete: true, second: true}
}

// brokenCases returns all combinations. Where the second target must not be asked, its answer does not matter, and one
// stands for all.
func brokenCases() (cases []brokenCase) {
	for _, path := range []string{"/stream/x", "/once/x", "/safe/x", "/unsafe/x"} {
		for _, framing := range []target.Framing{target.FramedByLength, target.FramedByChunks, target.FramedByConnection} {
			for _, way := range []target.Way{target.ByClose, target.ByReset, target.BySilence} {
				c := brokenCase{path: path, framing: framing, way: way}
				places := wholePlaces
				if c.isStream() {
					places = streamPlaces
				}
				for _, c.place = range places {
					for _, c.second = range secondAnswers {
						cases = append(cases, c)
						if !c.asksSecond() {
							break
						}
					}
				}
			}
		}
	}
	return cases
}

// TestBrokenAnswersNeverLookComplete guards against a caller that takes an incomplete answer for a complete one, misses
// an event between others, or gets one twice, in part, or from an answer that is no stream; against a request that runs
// twice though it must not; and against a promise that a request has not run after a target received it.
func TestBrokenAnswersNeverLookComplete(t *testing.T) {
	silent := map[string][]brokenCase{}
	for _, c := range brokenCases() {
		if c.way == target.BySilence {
			name := fmt.Sprintf("%s; %s; silence", c.path, c.framing)
			silent[name] = append(silent[name], c)
			continue
		}
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			runTogether(t, []brokenCase{c})
		})
	}
	// Cases that wait for their time limit run many at a time, so that the test stays quick.
	for name, cases := range silent {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runTogether(t, cases)
		})
	}
}

func (c brokenCase) String() string {
	return fmt.Sprintf("%s; %s; %s; %s; %s", c.path, c.framing, c.place.name, c.way, c.second.name)
}

// runTogether makes the exchanges of the cases with each kind of caller at the same time, each with targets of its own.
func runTogether(t *testing.T, cases []brokenCase) {
	var exchanges []*brokenExchange
	var wg sync.WaitGroup
	for _, c := range cases {
		for _, kind := range callerKinds {
			passed := make(chan struct{})
			e := &brokenExchange{brokenCase: c, kind: kind, fixture: newFixture(t, c.first(passed), c.second.send)}
			e.fixture.prepareForLoad()
			exchanges = append(exchanges, e)
			wg.Go(func() { e.seen, e.err = c.call(e.fixture, kind, passed) })
		}
	}
	wg.Wait()
	for _, e := range exchanges {
		e.check(t)
	}
}

// brokenExchange is the exchange of one caller.
type brokenExchange struct {
	brokenCase
	kind    callerKind
	fixture *fixture
	seen    seenAnswer
	err     error
}

// prepareForLoad sets long time limits, so that a busy machine does not change how an exchange ends, and makes the gateway
// reset its connections to targets when it closes them. Thousands of connections in TIME_WAIT would use up the ports of
// the machine.
func (f *fixture) prepareForLoad() {
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].Timeout = soundLimit
	}
	f.gateway.Tables.Offer(config)
	dialer := net.Dialer{Timeout: soundLimit}
	f.gateway.Pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetLinger(0)
	}
	f.t.Cleanup(f.gateway.Pool.Close)
}

// call makes the request, and closes passed when the caller has what the first target sent before the break.
func (c brokenCase) call(f *fixture, kind callerKind, passed chan struct{}) (seenAnswer, error) {
	header := ""
	if c.way == target.BySilence {
		header = fmt.Sprintf("X-Camphorbank-Deadline-Ms: %d\r\n", silenceLimit.Milliseconds())
	}
	before := 1 // bytes
	if c.isStream() {
		before = len(strings.Join(eventTexts(firstEvents[:c.place.parts]), ""))
	}
	closed := before == 0
	if closed {
		close(passed)
	}
	return kind.call(f.server.Listener.Addr().String(), c.path, header, func(body string) {
		if !closed && len(body) >= before {
			closed = true
			close(passed)
		}
	})
}

// ownErrorBody is the body of an answer of the gateway itself.
var ownErrorBody = regexp.MustCompile(`^\{"error":"[a-z-]+"\}\n$`)

// promises are the statuses that callers read as a promise that their request has not run.
var promises = []int{408, 421, 429, 503}

// check compares what the caller saw with what it may see.
func (e *brokenExchange) check(t *testing.T) {
	want, got := e.expected(), e.seen
	fail := func(format string, args ...any) {
		t.Helper()
		t.Errorf("%v; %s: %s; got %v", e.brokenCase, e.kind.name, fmt.Sprintf(format, args...), got)
	}
	if e.err != nil {
		fail("%v", e.err)
	}
	complete := got.end == endedInOrder
	broken := got.end == endedByReset || got.end == endedShort
	if complete == broken || !want.anyEnd && complete != want.complete {
		fail("ended %s, want a complete answer: %v", got.end, want.complete)
	}
	if got.status != want.status {
		fail("status %d, want %d", got.status, want.status)
	}
	if got.status == 200 && got.header.Get(target.HeaderStamp) == "" {
		fail("a success without the signature of a target")
	}
	switch {
	case want.ownError:
		if !ownErrorBody.MatchString(got.body) {
			fail("body %q, want an error of the gateway", got.body)
		}
	case want.prefix:
		if !strings.HasPrefix(want.body, got.body) || complete && got.body != want.body {
			fail("the body is not the target's, or the start of it if it broke off")
		}
	case got.body != want.body:
		fail("body %.300q, want %.300q", got.body, want.body)
	}
	e.checkArrivals(fail, want.second)
}

// checkArrivals checks which targets got the request.
func (e *brokenExchange) checkArrivals(fail func(string, ...any), second bool) {
	firstCount, secondArrivals := len(e.fixture.first.Arrivals()), e.fixture.second.Arrivals()
	wantSecond := 0
	if second {
		wantSecond = 1
	}
	if firstCount != 1 || len(secondArrivals) != wantSecond {
		fail("%d and %d requests reached the targets, want 1 and %d", firstCount, len(secondArrivals), wantSecond)
	}
	if n := firstCount + len(secondArrivals); e.runsOnce() && n > 1 {
		fail("a request that must run once reached %d targets", n)
	}
	if slices.Contains(promises, e.seen.status) {
		fail("status %d promises that the request has not run", e.seen.status)
	}
	wantLast := ""
	if e.isStream() && e.place.parts > 0 {
		wantLast = strconv.Itoa(firstEvents[e.place.parts-1])
	}
	if len(secondArrivals) > 0 {
		if last := secondArrivals[0].Header.Get("Last-Event-Id"); last != wantLast {
			fail("the second target is to go on after %q, want %q", last, wantLast)
		}
	}
}
