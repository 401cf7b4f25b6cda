package ownership

import (
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// Owner is the value of a failure domain's owner row. A row without an
// incarnation is vacant.
type Owner struct {
	Incarnation string `cbor:"1,keyasint,omitempty"`
	Instance    string `cbor:"2,keyasint,omitempty"`
	// Address is host:port by IP number.
	Address string `cbor:"3,keyasint,omitempty"`
	// Epoch rises with every takeover.
	Epoch int64 `cbor:"4,keyasint"`
	// Next is the instance that a releasing owner asks to take over.
	Next string `cbor:"5,keyasint,omitempty"`
}

// Grant is this process's ownership of a failure domain. Every write made as
// the owner must require the owner row at Revision.
type Grant struct {
	Domain string
	// Incarnation is the session that holds the grant.
	Incarnation string
	Epoch       int64
	Revision    int64
}

// Require adds the grant's fencing condition to a transaction and returns it.
func (g Grant) Require(t *store.Txn) *store.Txn {
	return t.Require(store.OwnerKey(g.Domain), g.Revision)
}

// record is an owner row as read; the zero record stands for an absent row.
type record struct {
	Owner
	revision int64
}

func (r record) grant(domain string) Grant {
	return Grant{
		Domain:      domain,
		Incarnation: r.Incarnation,
		Epoch:       r.Epoch,
		Revision:    r.revision,
	}
}

// decodeOwners returns the rows by failure domain. A row that can't be read is
// left out, and so is taken over by nobody.
func decodeOwners(rows []port.Row) (owners map[string]record, unreadable []string) {
	owners = make(map[string]record, len(rows))
	for _, row := range rows {
		domain := row.Key[len(store.OwnerPrefix):]
		var owner Owner
		if err := store.Decode(row, &owner); err != nil {
			unreadable = append(unreadable, domain)
			continue
		}
		owners[domain] = record{Owner: owner, revision: row.Revision}
	}
	return owners, unreadable
}
