package gateway

// headerFieldBytes is the memory that a header field needs besides its text: its place in the map of the head and in the copy
// that is sent to a target, its slice of values and its strings.
const headerFieldBytes = 256

// headMeter measures the memory that the head of a request needs while it arrives.
type headMeter struct {
	begun  bool // memory was taken
	ended  bool
	lines  bool // a line that is not empty has arrived; empty ones before it do not end the head
	length int  // of the present line, without its end
}

// add takes the next bytes of a request and returns the memory that those of its head need.
func (m *headMeter) add(p []byte) (cost int64) {
	for _, b := range p {
		if m.ended {
			break
		}
		cost++
		switch b {
		case '\r':
		case '\n':
			m.ended = m.length == 0 && m.lines
			m.lines = m.lines || m.length > 0
			m.length = 0
			cost += headerFieldBytes
		default:
			m.length++
		}
	}
	return cost
}
