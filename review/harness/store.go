package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the platform's store in the site files and in the example of DEPLOY.md.
const (
	storeAnswer       = 4 * time.Millisecond
	storeTxn          = 8 * time.Millisecond
	maxEntries        = 100
	maxTxnBytes       = 1 << 20
	maxRowBytes       = 65536
	maxRowsPerAnswer  = 500
	maxWatchWait      = 30 * time.Second
	maxPartsPerAnswer = 1000
)

type rowKey struct{ table, part, key string }

type row struct {
	rowKey
	value   []byte
	version int64
	deleted bool
}

// Store is a stand-in for the platform's store: rows, transactions, feed.
type Store struct {
	rec    *Record
	began  time.Time
	baseMs int64 // of nowMs

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	txns    map[string]*sync.Mutex // one transaction at a time in a part
	down    map[string]bool        // parts that are unavailable
	refused map[string]int         // transactions over a limit of the page, by part
	// onPut is called for each row written, with the lock held.
	onPut func(row)
}

// NewStore returns an empty store whose steady clock begins at base.
func NewStore(rec *Record, base time.Duration) *Store {
	return &Store{
		rec: rec, began: time.Now(), baseMs: base.Milliseconds(), rows: map[rowKey]row{}, changed: make(chan struct{}),
		txns: map[string]*sync.Mutex{}, down: map[string]bool{}, refused: map[string]int{},
	}
}

// SetDown replaces the set of unavailable parts.
func (s *Store) SetDown(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = map[string]bool{}
	for _, p := range parts {
		s.down[p] = true
	}
}

// Put writes a row on behalf of the operator or a runner.
func (s *Store) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: rowKey{table, "", key}, value: text}})
}

// Drop deletes a row on behalf of the platform.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: rowKey{table, "", key}, deleted: true}})
}

// Version returns the version of a row, 0 if there is none.
func (s *Store) Version(table, part, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].version
}

// Get returns the value of a row, nil if there is none.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].value
}

// Refused returns how many transactions exceeded a limit of the page.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.refused {
		n += k
	}
	return n
}

// apply writes or deletes rows as one transaction. The lock must be held.
func (s *Store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.version = s.version
		if r.deleted {
			delete(s.rows, r.rowKey)
		} else {
			s.rows[r.rowKey] = r
		}
		s.history = append(s.history, r)
		if s.onPut != nil {
			s.onPut(r)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) wire() wireRow {
	return wireRow{Table: r.table, Part: r.part, Key: r.key, Value: r.value, Ver: r.version, Deleted: r.deleted}
}

type wireAnswer struct {
	Rows    []wireRow `json:"rows"`
	Parts   []string  `json:"parts,omitempty"`
	HasMore bool      `json:"hasMore"`
	Ver     int64     `json:"ver"`
	NowMs   int64     `json:"nowMs"`
}

// Gate is the address at which one instance reaches the store.
type Gate struct {
	store   *Store
	name    string
	address string
	// refuse makes the store turn this instance away with 503. Nothing is done then.
	refuse atomic.Bool
	// hold delays the transactions of this gate that write the key with this suffix:
	// they are performed late and not answered.
	late atomic.Pointer[lateWrite]
}

// lateWrite makes transactions on rows whose key has a suffix run after a delay,
// without an answer.
type lateWrite struct {
	suffix string
	delay  time.Duration
}

// NewGate starts a listener for one instance.
func (s *Store) NewGate(name string) *Gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	g := &Gate{store: s, name: name, address: l.Addr().String()}
	go func() { _ = http.Serve(l, g) }()
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if g.refuse.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		g.txn(w, r, body)
	case "/api/rows-get":
		g.store.get(w, r)
	case "/api/rows-parts":
		g.store.parts(w, r)
	case "/api/rows-feed":
		g.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.txns[part]
	if m == nil {
		m = &sync.Mutex{}
		s.txns[part] = m
	}
	return m
}

func (s *Store) isDown(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[part]
}

func (g *Gate) txn(w http.ResponseWriter, r *http.Request, body []byte) {
	var t struct {
		ExpectedRev []wireRow `json:"expectedRev"`
		Puts        []wireRow `json:"puts"`
		Remove      []wireRow `json:"remove"`
	}
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := slices.Concat(t.ExpectedRev, t.Puts, t.Remove)
	if len(all) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := all[0].Part
	s := g.store
	tooLarge := len(all) > maxEntries || len(body) > maxTxnBytes
	for _, e := range all {
		if e.Part != part {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		tooLarge = tooLarge || len(e.Value) > maxRowBytes
	}
	for _, e := range slices.Concat(t.Puts, t.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if tooLarge {
		s.mu.Lock()
		s.refused[part]++
		n := s.refused[part]
		s.mu.Unlock()
		if n <= 3 {
			s.rec.Log("store: 400 to %s: transaction on part %s with %d entries, %d bytes", g.name, part, len(all), len(body))
		}
		time.Sleep(storeAnswer)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.isDown(part) {
		time.Sleep(storeAnswer)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late := g.late.Load(); late != nil {
		for _, e := range t.Puts {
			if strings.HasSuffix(e.Key, late.suffix) {
				s.rec.Log("store: %s writes %s, performed %v later and not answered", g.name, e.Key, late.delay)
				time.AfterFunc(late.delay, func() {
					_, conflict := s.commit(part, t.ExpectedRev, t.Puts, t.Remove)
					s.rec.Log("store: late write of %s by %s performed, condition held: %v", e.Key, g.name, !conflict)
				})
				<-r.Context().Done()
				return
			}
		}
	}
	lock := s.partLock(part)
	lock.Lock()
	time.Sleep(storeTxn)
	answer, conflict := s.commit(part, t.ExpectedRev, t.Puts, t.Remove)
	lock.Unlock()
	time.Sleep(storeAnswer)
	status := http.StatusOK
	if conflict {
		status = http.StatusPreconditionFailed
	}
	s.respond(w, status, answer)
}

func (s *Store) commit(_ string, expected, puts, remove []wireRow) (wireAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []wireRow
	for _, e := range expected {
		r, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, r.wire())
		}
		conflict = conflict || r.version != e.Ver
	}
	if conflict {
		return wireAnswer{Rows: current, Ver: s.version}, true
	}
	var rows []row
	for _, e := range puts {
		rows = append(rows, row{rowKey: rowKey{e.Table, e.Part, e.Key}, value: e.Value})
	}
	for _, e := range remove {
		k := rowKey{e.Table, e.Part, e.Key}
		if _, ok := s.rows[k]; ok {
			rows = append(rows, row{rowKey: k, deleted: true})
		}
	}
	s.apply(rows)
	return wireAnswer{Rows: []wireRow{}, Ver: s.version}, false
}

func (s *Store) respond(w http.ResponseWriter, status int, a wireAnswer) {
	a.NowMs = s.baseMs + time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []wireRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")
	time.Sleep(storeAnswer)
	if s.isDown(part) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	var a wireAnswer
	for k, v := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			a.Rows = append(a.Rows, v.wire())
		}
	}
	a.Ver = s.version
	s.mu.Unlock()
	slices.SortFunc(a.Rows, func(x, y wireRow) int { return strings.Compare(x.Key, y.Key) })
	limit := maxRowsPerAnswer
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	s.respond(w, http.StatusOK, a)
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	table, after := r.URL.Query().Get("table"), r.URL.Query().Get("after")
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == table && k.part > after {
			seen[k.part] = true
		}
	}
	a := wireAnswer{Ver: s.version}
	s.mu.Unlock()
	for p := range seen {
		a.Parts = append(a.Parts, p)
	}
	slices.Sort(a.Parts)
	if len(a.Parts) > maxPartsPerAnswer {
		a.Parts, a.HasMore = a.Parts[:maxPartsPerAnswer], true
	}
	s.respond(w, http.StatusOK, a)
}

func (g *Gate) feed(w http.ResponseWriter, r *http.Request) {
	s := g.store
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, errWait := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	table := q.Get("table")
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for ended := false; ; {
		s.mu.Lock()
		var a wireAnswer
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(h row, v int64) int { return int(h.version - v) })
		for _, h := range s.history[i:] {
			if h.table == table {
				a.Rows = append(a.Rows, h.wire())
			}
		}
		a.Ver = s.version
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || ended {
			time.Sleep(storeAnswer)
			if g.refuse.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
