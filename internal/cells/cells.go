// Package cells confines tenants to parts of the fleet. It maps an RPC to its tenant, the tenant
// to a cell and to a group of it, limits the RPCs of each cell and tenant, and moves tenants
// between cells while writes are in flight.
//
// The package does no I/O, reads no clock and starts no goroutine: callers pass in events with
// their times. A caller must persist each Record before applying it.
//
// A cell is a set of groups. A group is a primary with its replicas; the discovery service calls a
// group a cell.
package cells

import "sedgespread/rules"

// Tenant is the name of the tenant that an RPC belongs to.
type Tenant string

// Cell is the index of a cell in the Layout. It does not change while the program runs.
type Cell int

// NoCell means no cell.
const NoCell Cell = -1

// Epoch numbers placement decisions across all tenants. An older decision never replaces a newer
// one.
type Epoch uint64

// Groups lists group ids as used by the discovery service.
type Groups []rules.GroupID

const second = int64(1_000_000_000)
