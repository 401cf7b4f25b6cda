// Package configshare lets instances that the store rejects, or serves slowly, get the
// configuration from instances that have read it. Otherwise the few instances that the
// store serves would read it again for each of the others, over links that a large
// configuration fills.
//
// An instance that reads from the store also confirms that there is nothing new; one that has
// its configuration from a peer only passes it on. Each offer has the age of the reading from
// the store, which the reader counts in, so that a configuration is never taken for newer than
// it is.
package configshare

import (
	"bytes"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/gzip"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Path is the HTTP path of the endpoint. Its last part changes with the encoding of
// work.Config: an instance that doesn't know a field must not bring a configuration without
// it into force elsewhere.
const Path = "/configuration/v1"

// The parameters of a request.
const (
	// paramAfter is the store's version that the reader has read up to.
	paramAfter = "after"
	// paramHave is the version of the configuration that the reader has, absent for none.
	paramHave = "have"
	// paramWaitMs is how long the response may wait for a change.
	paramWaitMs = "waitMs"
)

// maxConfigBytes limits an encoded configuration, compressed or not.
const maxConfigBytes = 32 << 20

// offer is the response. It tells that Evacuated, and the configuration sent or the one that
// the reader has, were the newest ones Age ago.
type offer struct {
	_ struct{} `cbor:",toarray"`
	// Version is the store's version of the reading.
	Version int64
	Age     time.Duration
	// Evacuated holds the evacuated failure domains, with the store's version from which
	// each is one.
	Evacuated map[string]int64
	// Config is compressed. It is empty if the reader has it, or a newer one.
	Config []byte
}

func encodeConfig(c *work.Config) ([]byte, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode configuration", err)
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "compress configuration", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fault.Wrap(fault.Internal, "compress configuration", err)
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(fault.Internal, "compress configuration", err)
	}
	return out.Bytes(), nil
}

// decodeConfig fails with fault.Uncertain, as for any other response that can't be used.
func decodeConfig(data []byte) (*work.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(fault.Uncertain, "decompress configuration", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxConfigBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Uncertain, "decompress configuration", err)
	}
	c := new(work.Config)
	if err := cbor.Unmarshal(plain, c); err != nil {
		return nil, fault.Wrap(fault.Uncertain, "decode configuration", err)
	}
	return c, nil
}
