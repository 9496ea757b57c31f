package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// pair is the connection of a client together with the proxy's connection to the target for it.
type pair struct {
	link           *Link
	client, server *net.TCPConn

	mu            sync.Mutex
	answered      bool   // bytes of the response to the current request have arrived
	request       []byte // bytes of the current request, see maxKeptBytes
	requestBytes  int    // received from the client for the current request
	responseBytes int    // received from the server for the current request
	injection     Injection
	started       bool // the first request has begun
}

func (p *pair) reset() {
	_ = p.client.SetLinger(0)
	_ = p.client.Close()
	_ = p.server.SetLinger(0)
	_ = p.server.Close()
}

// copy delivers what one side sends until that side ends its sending, a fault cuts the connection, or the connection
// breaks.
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

// forwardRequest passes a chunk of a request on to the server and applies the fault of the request. It returns false if
// the connection must be cut.
func (p *pair) forwardRequest(chunk []byte) bool {
	injection, sent := p.addToRequest(chunk)
	switch injection.Fault {
	case CutRequest:
		if sent+len(chunk) > injection.Bytes {
			_, _ = p.server.Write(chunk[:max(0, injection.Bytes-sent)])
			return false
		}
	case Delay:
		time.Sleep(injection.Wait)
	case Redeliver:
		if sent == 0 {
			p.link.locked(func() { p.link.pending++ })
			p.link.wg.Go(func() {
				time.Sleep(collectTime)
				p.link.Send(p.currentRequest(), injection.Wait)
				p.reset()
				p.link.locked(func() { p.link.pending-- })
			})
		}
		return true
	}
	if !p.link.waitToDeliver(false) {
		return false
	}
	_, err := p.server.Write(chunk)
	return err == nil
}

// addToRequest adds a chunk to the current request, or begins a new request with it if the current one was answered.
func (p *pair) addToRequest(chunk []byte) (injection Injection, sent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.started || p.answered {
		p.started, p.answered, p.requestBytes, p.responseBytes, p.request = true, false, 0, 0, nil
		p.injection = p.link.nextInjection()
	}
	sent = p.requestBytes
	p.requestBytes += len(chunk)
	if len(p.request) <= maxKeptBytes {
		p.request = append(p.request, chunk...)
	}
	return p.injection, sent
}

func (p *pair) currentRequest() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]byte(nil), p.request...)
}

// forwardResponse passes a chunk of a response on to the client and applies the fault of the request. It returns false
// if the connection must be cut.
func (p *pair) forwardResponse(chunk []byte) bool {
	p.mu.Lock()
	first := !p.answered
	p.answered = true
	injection, received, request := p.injection, p.responseBytes, p.request
	p.responseBytes += len(chunk)
	p.mu.Unlock()
	if first && injection.Fault == Duplicate {
		p.link.Send(request, injection.Wait)
	}
	if injection.Fault == CutResponse && received+len(chunk) > injection.Bytes {
		_, _ = p.client.Write(chunk[:max(0, injection.Bytes-received)])
		return false
	}
	if !p.link.waitToDeliver(true) {
		return false
	}
	_, err := p.client.Write(chunk)
	return err == nil
}
