package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// pair is a client's connection with its connection to the target.
type pair struct {
	link           *Link
	client, server *net.TCPConn

	mu       sync.Mutex
	answered bool   // the server has answered the present request
	request  []byte // the present request so far
	sent     int    // bytes of the request passed on
	received int    // bytes of the response passed on
	fate     Fate
	started  bool
}

func (p *pair) reset() {
	_ = p.client.SetLinger(0)
	_ = p.client.Close()
	_ = p.server.SetLinger(0)
	_ = p.server.Close()
}

// copy passes on what comes from one side until that side ends, a fault cuts the connection, or it breaks.
func (p *pair) copy(from, to *net.TCPConn, deliver func(chunk []byte) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !deliver(buf[:n]) {
			p.reset()
			return
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// forward passes on a part of a request with the faults of its fate. It returns false to cut the connection.
func (p *pair) forward(chunk []byte) bool {
	fate, sent := p.begin(chunk)
	switch fate.Fault {
	case CutRequest:
		if sent+len(chunk) > fate.Bytes {
			_, _ = p.server.Write(chunk[:max(0, fate.Bytes-sent)])
			return false
		}
	case Delay:
		time.Sleep(fate.Wait)
	case Late:
		if sent == 0 {
			p.link.set(func() { p.link.pending++ })
			p.link.wg.Go(func() {
				time.Sleep(lateCollect)
				p.link.Send(p.present(), fate.Wait)
				p.reset()
				p.link.set(func() { p.link.pending-- })
			})
		}
		return true
	}
	if !p.link.pass(false) {
		return false
	}
	_, err := p.server.Write(chunk)
	return err == nil
}

// begin accounts a chunk to the present request, or to a new one if the present one was answered.
func (p *pair) begin(chunk []byte) (fate Fate, sent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.started || p.answered {
		p.started, p.answered, p.sent, p.received, p.request = true, false, 0, 0, nil
		p.fate = p.link.next()
	}
	sent = p.sent
	p.sent += len(chunk)
	if len(p.request) <= maxCopied {
		p.request = append(p.request, chunk...)
	}
	return p.fate, sent
}

func (p *pair) present() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]byte(nil), p.request...)
}

// back passes on a part of a response.
func (p *pair) back(chunk []byte) bool {
	p.mu.Lock()
	first := !p.answered
	p.answered = true
	fate, received, request := p.fate, p.received, p.request
	p.received += len(chunk)
	p.mu.Unlock()
	if first && fate.Fault == Repeat {
		p.link.Send(request, fate.Wait)
	}
	if fate.Fault == CutResponse && received+len(chunk) > fate.Bytes {
		_, _ = p.client.Write(chunk[:max(0, fate.Bytes-received)])
		return false
	}
	if !p.link.pass(true) {
		return false
	}
	_, err := p.client.Write(chunk)
	return err == nil
}
