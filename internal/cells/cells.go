// Package cells confines tenants to parts of the fleet. It decides which tenant an RPC belongs to, which cell and which
// group of it the tenant uses, whether the cell and the tenant have room for one more RPC, and how a tenant passes from
// one cell to another while its writes are in flight. It does no I/O, reads no clock and starts no goroutine: events
// come in with their time, decisions go out. What must outlast a crash is an Entry, which whoever drives the package
// writes down before it is applied. docs/cells.md weighs the ways.
//
// A cell is a set of whole groups; a group is a primary with its replicas, which discovery calls a cell.
package cells

import "sedgespread/rules"

// Tenant is the name of whoever an RPC is done for.
type Tenant string

// Cell is a cell's place in the Layout, the same for as long as a program runs.
type Cell int

// NoCell stands for no cell at all.
const NoCell Cell = -1

// Epoch numbers the decisions on where tenants are, over all tenants. An older one is never acted on.
type Epoch uint64

// Groups are the numbers of groups, as discovery has them.
type Groups []rules.GroupID

const second = int64(1_000_000_000)
