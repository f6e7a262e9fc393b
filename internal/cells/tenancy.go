package cells

// Own says whose name is the tenant's where no rule decides.
type Own int

const (
	OwnNobody Own = iota
	OwnUser
	OwnDatabase
)

// Tenancy tells which tenant an RPC belongs to: that of the longest prefix of its key, else of the user or the database
// that its client named at its start, else what Own says, else Others.
type Tenancy struct {
	prefixes  *Prefixes
	users     map[string]Tenant
	databases map[string]Tenant
	own       Own
	others    Tenant
}

// NewTenancy makes a tenancy of its rules.
func NewTenancy(prefixes, users, databases map[string]Tenant, own Own, others Tenant) *Tenancy {
	return &Tenancy{prefixes: NewPrefixes(prefixes), users: users, databases: databases, own: own, others: others}
}

// Of is the tenant of an RPC.
func (y *Tenancy) Of(key, user, database string) Tenant {
	if t, found := y.prefixes.Longest(key); found {
		return t
	}
	if t, found := y.users[user]; found {
		return t
	}
	if t, found := y.databases[database]; found {
		return t
	}
	switch {
	case y.own == OwnUser && user != "":
		return Tenant(user)
	case y.own == OwnDatabase && database != "":
		return Tenant(database)
	}
	return y.others
}
