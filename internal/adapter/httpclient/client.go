// Package httpclient provides HTTP/1.1 clients that report whether any byte of a
// request may have been sent. They follow no redirects, use no proxy and never
// resend a request after a byte of it was written.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Settings holds the timeouts and limits of a client. A zero timeout, count of
// connections or size means no bound.
type Settings struct {
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It also bounds how
	// long a connection that has stalled unnoticed may still be used.
	IdleTimeout time.Duration
	// KeepAliveInterval is the interval between TCP keepalive probes of a
	// connection on which no data arrives. Zero means the defaults of package
	// net for the interval and the count.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes after which the
	// connection is closed. Zero means the default of package net.
	KeepAliveCount int
	// MaxConnsPerHost bounds the connections to one address. If it is zero, at
	// most 2 idle ones are kept, the default of package net/http.
	MaxConnsPerHost int
	// MaxIdleConns bounds the idle connections to all addresses.
	MaxIdleConns int
	// MaxAnswerBytes bounds the body of a response on the wire.
	MaxAnswerBytes int64
}

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	transport *http.Transport
}

// New returns a client that has no connections yet.
func New(s Settings) *Client {
	dialer := &net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   s.KeepAliveInterval > 0,
			Idle:     s.KeepAliveInterval,
			Interval: s.KeepAliveInterval,
			Count:    s.KeepAliveCount,
		},
	}
	transport := &http.Transport{
		DialContext:            dialTracked(dialer),
		IdleConnTimeout:        s.IdleTimeout,
		MaxConnsPerHost:        s.MaxConnsPerHost,
		MaxIdleConns:           s.MaxIdleConns,
		MaxIdleConnsPerHost:    s.MaxConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{
		transport: transport,
		http: &http.Client{
			Transport:     &boundedTransport{next: transport, maxBytes: s.MaxAnswerBytes},
			CheckRedirect: returnRedirect,
		},
	}
}

// Do implements connect.HTTPClient.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	return c.http.Do(r)
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// returnRedirect returns a redirect to the caller, because following it would
// send the request again.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// dialTracked returns a dial function whose connections count the bytes that they
// write.
func dialTracked(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}
