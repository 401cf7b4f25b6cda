package configshare

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/transfer"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Read reads the configuration that the instance at baseURL offers. after is the store's
// version that has been read up to, inForce the configuration in force, nil for none, and
// wait how long the response may wait for a change. It fails with fault.Unavailable if the
// instance has no offer or can't be reached, and with fault.Uncertain if it doesn't answer.
func Read(ctx context.Context, client *http.Client, baseURL string, after int64, inForce *work.Config, wait time.Duration) (port.ConfigReading, error) {
	q := url.Values{paramAfter: {strconv.FormatInt(after, 10)}, paramWaitMs: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if inForce != nil {
		q.Set(paramHave, strconv.FormatInt(inForce.Version, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+Path+"?"+q.Encode(), nil)
	if err != nil {
		return port.ConfigReading{}, fault.Wrap(fault.Internal, "build request", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return port.ConfigReading{}, fault.Wrap(fault.Uncertain, "no response", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return port.ConfigReading{}, fault.New(fault.Unavailable, fmt.Sprintf("the peer offers no configuration: status %d", resp.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(transfer.Reader(ctx, resp.Body, resp.ContentLength), maxConfigBytes))
	if err != nil {
		return port.ConfigReading{}, fault.Wrap(fault.Uncertain, "response is incomplete", err)
	}
	var o offer
	if err := cbor.Unmarshal(body, &o); err != nil {
		return port.ConfigReading{}, fault.Wrap(fault.Uncertain, "decode offer", err)
	}
	return o.reading(after)
}

func (o *offer) reading(after int64) (port.ConfigReading, error) {
	if o.Version < after || o.Age < 0 {
		return port.ConfigReading{}, fault.New(fault.Unavailable, "the peer's reading is older than the last one")
	}
	r := port.ConfigReading{Shared: true, Age: o.Age, Version: o.Version, Complete: true}
	for domain, version := range o.Evacuated {
		r.Evacuations = append(r.Evacuations, port.EvacuationChange{Domain: domain, Evacuated: true, Version: version})
	}
	if len(o.Config) == 0 {
		return r, nil
	}
	startedAt := time.Now()
	config, err := decodeConfig(o.Config)
	if err != nil {
		return port.ConfigReading{}, err
	}
	r.Config, r.Configs, r.Decoding = config, 1, time.Since(startedAt)
	return r, nil
}
