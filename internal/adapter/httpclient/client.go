// Package httpclient makes HTTP/1.1 clients that know whether any byte of a
// request left this process. It follows no redirect, uses no proxy and never
// sends a request a second time once a byte of it was written.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Settings bounds a client's connections, times and sizes. A zero time or
// count means no bound, as in net/http.
type Settings struct {
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It bounds for how
	// long a connection that went silent may be trusted.
	IdleTimeout time.Duration
	// KeepAliveInterval is the time between TCP keepalive probes of a
	// connection on which nothing arrives.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes that close it.
	KeepAliveCount int
	// MaxConnsPerHost bounds the connections to one address.
	MaxConnsPerHost int
	// MaxIdleConns bounds the unused connections to all addresses.
	MaxIdleConns int
	// MaxAnswerBytes bounds an answer's body on the wire.
	MaxAnswerBytes int64
}

// maxHeaderBytes bounds an answer's header.
const maxHeaderBytes = 64 << 10

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	transport *http.Transport
}

// New returns a client without connections.
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
			CheckRedirect: refuseRedirect,
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

// refuseRedirect hands a redirect to the caller: following it would send the
// request twice.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func dialTracked(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}
