package ownership

import (
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// Owner is the value of a failure domain's owner row. A row without an
// incarnation is vacant.
type Owner struct {
	// Incarnation identifies the owner's session, and Instance is the owner's
	// name.
	Incarnation string `cbor:"1,keyasint,omitempty"`
	Instance    string `cbor:"2,keyasint,omitempty"`
	// Address is the instance's IP address and port as host:port.
	Address string `cbor:"3,keyasint,omitempty"`
	// Epoch increases with every takeover.
	Epoch int64 `cbor:"4,keyasint"`
	// Next is the instance that the releasing owner chose as its successor, or
	// "".
	Next string `cbor:"5,keyasint,omitempty"`
}

// Grant is this process's ownership of a failure domain. Every write made as
// the owner must be conditional on the owner row being at Revision.
type Grant struct {
	Domain string
	// Incarnation identifies the session that holds the grant.
	Incarnation string
	Epoch       int64
	Revision    int64
}

// Require adds the grant's fencing condition to a transaction and returns the
// transaction.
func (g Grant) Require(t *store.Txn) *store.Txn {
	return t.Require(store.OwnerKey(g.Domain), g.Revision)
}

// ownerRow is an owner row with its revision. The zero value represents an
// absent row.
type ownerRow struct {
	Owner
	revision int64
}

func (r ownerRow) grant(domain string) Grant {
	return Grant{
		Domain:      domain,
		Incarnation: r.Incarnation,
		Epoch:       r.Epoch,
		Revision:    r.revision,
	}
}

// decodeOwners returns the rows by failure domain, and the failure domains
// whose rows can't be decoded. The latter are missing from owners and would
// count as vacant, so callers must not act on owners unless undecodable is
// empty.
func decodeOwners(rows []port.Row) (owners map[string]ownerRow, undecodable []string) {
	owners = make(map[string]ownerRow, len(rows))
	for _, row := range rows {
		domain := row.Key[len(store.OwnerPrefix):]
		var owner Owner
		if err := store.Decode(row, &owner); err != nil {
			undecodable = append(undecodable, domain)
			continue
		}
		owners[domain] = ownerRow{Owner: owner, revision: row.Revision}
	}
	return owners, undecodable
}
