package configshare

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func config(version int64) *work.Config {
	return &work.Config{
		Version: version, MaxBodyBytes: 100, Pools: []string{"p"},
		Queues:     []work.Queue{{Name: "h/q/", Host: "h", Prefix: "/q/", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: time.Second, AllowAnonymous: true}},
		Workspaces: []work.Workspace{{Name: "w", Keys: []string{"k"}, GuaranteedAccelerators: 4}},
	}
}

// sharing is a server with a clock that tests set.
type sharing struct {
	*Server
	now  atomic.Int64
	http *httptest.Server
}

func share(t *testing.T) *sharing {
	s := &sharing{}
	s.Server = NewServer(func() time.Duration { return time.Duration(s.now.Load()) }, zap.NewNop())
	s.now.Store(int64(time.Minute))
	s.http = httptest.NewServer(s)
	t.Cleanup(s.http.Close)
	return s
}

func (s *sharing) read(t *testing.T, after int64, inForce *work.Config, wait time.Duration) (port.ConfigReading, error) {
	return Read(t.Context(), s.http.Client(), s.http.URL, after, inForce, wait)
}

func TestConfigurationIsSharedWithItsAgeAndEvacuations(t *testing.T) {
	s := share(t)
	s.Publish(config(7), map[string]int64{"z": 5}, 90, time.Minute-time.Second, true)
	got, err := s.read(t, 80, config(6), time.Minute)
	must.NoError(t, err)
	must.Eq(t, config(7), got.Config)
	must.Eq(t, []port.EvacuationChange{{Domain: "z", Evacuated: true, Version: 5}}, got.Evacuations)
	must.True(t, got.Complete && got.Shared)
	must.EqOp(t, 90, got.Version)
	must.EqOp(t, time.Second, got.Age)
	// The reader has it.
	got, err = s.read(t, 90, config(7), 0)
	must.NoError(t, err)
	must.Nil(t, got.Config)
	must.EqOp(t, time.Second, got.Age)
}

func TestReaderWithConfigurationWaitsForChange(t *testing.T) {
	for name, change := range map[string]func(*sharing){
		"configuration": func(s *sharing) { s.Publish(config(8), nil, 95, time.Minute, true) },
		"evacuation":    func(s *sharing) { s.Publish(s.reading.config, map[string]int64{"z": 94}, 95, time.Minute, true) },
		"restoration":   func(s *sharing) { s.Publish(s.reading.config, nil, 95, time.Minute, true) },
	} {
		t.Run(name, func(t *testing.T) {
			s := share(t)
			s.Publish(config(7), map[string]int64{"y": 1}, 90, time.Minute, true)
			startedAt := time.Now()
			time.AfterFunc(100*time.Millisecond, func() { change(s) })
			got, err := s.read(t, 90, config(7), time.Minute)
			must.NoError(t, err)
			must.EqOp(t, 95, got.Version)
			must.Less(t, 30*time.Second, time.Since(startedAt))
		})
	}
}

// Guards against a reader that goes back to what it has read before.
func TestOfferBehindTheReaderIsNotGiven(t *testing.T) {
	s := share(t)
	s.Publish(config(7), nil, 90, time.Minute, true)
	_, err := s.read(t, 91, config(7), 0)
	must.True(t, fault.Is(err, fault.Unavailable))
	time.AfterFunc(100*time.Millisecond, func() { s.Publish(s.reading.config, nil, 92, time.Minute, true) })
	got, err := s.read(t, 91, config(7), 0)
	must.NoError(t, err)
	must.EqOp(t, 92, got.Version)
}

// Guards against old configurations that are confirmed by instances that don't read from the
// store, one by the other.
func TestOnlyReadersOfTheStoreConfirmThatNothingIsNew(t *testing.T) {
	s := share(t)
	refused := func(inForce *work.Config) {
		t.Helper()
		_, err := s.read(t, 0, inForce, time.Minute)
		must.True(t, fault.Is(err, fault.Unavailable))
	}
	refused(nil) // nothing read yet
	s.Publish(config(7), nil, 90, time.Minute, false)
	refused(config(7))
	got, err := s.read(t, 0, config(6), time.Minute)
	must.NoError(t, err)
	must.EqOp(t, 7, got.Config.Version)
	s.Publish(config(7), nil, 91, time.Minute, true)
	s.ReadingFailed()
	refused(config(7))
	s.Publish(config(7), nil, 92, time.Minute, true)
	s.now.Store(int64(time.Minute + maxAge + 1))
	refused(nil) // too old
	s.now.Store(int64(time.Minute))
	s.Withdraw()
	refused(nil)
}

func TestInvalidRequestsAndOffersAreRejected(t *testing.T) {
	s := share(t)
	for _, query := range []string{"", "after=x&waitMs=0", "after=1", "after=1&waitMs=-1", "after=1&waitMs=99999999", "after=1&have=x&waitMs=0"} {
		resp, err := s.http.Client().Get(s.http.URL + Path + "?" + query)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.EqOp(t, http.StatusBadRequest, resp.StatusCode, must.Sprint(query))
	}
	for _, body := range []string{"", "x", "\x84\x01\x00\xa0\x41x"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) }))
		_, err := Read(t.Context(), server.Client(), server.URL, 0, nil, 0)
		must.True(t, fault.Is(err, fault.Uncertain), must.Sprintf("%q: %v", body, err))
		server.Close()
	}
}

// Guards against instances of two builds that share configurations of which one of them
// doesn't know a field. If this fails, change the last part of Path, then the text here.
func TestPathNamesTheFieldsOfTheConfiguration(t *testing.T) {
	must.EqOp(t, "/configuration/v1: Version int64, Queues []work.Queue{Name string, Host string, Prefix string, Pool string, Priority int, "+
		"MaxAttempts int, Stretch float64, Target time.Duration, AllowAnonymous bool, PolicyControlled bool}, "+
		"Workspaces []work.Workspace{Name string, Keys []string, GuaranteedAccelerators int64}, Pools []string, MaxBodyBytes int64",
		Path+": "+fieldsOf(reflect.TypeFor[work.Config]()))
}

func fieldsOf(t reflect.Type) string {
	out := ""
	for i := range t.NumField() {
		f := t.Field(i)
		if i > 0 {
			out += ", "
		}
		out += f.Name + " " + f.Type.String()
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			out += "{" + fieldsOf(f.Type.Elem()) + "}"
		}
	}
	return out
}
