package cells

// DefaultTenant says whose name is the tenant's where no rule decides.
type DefaultTenant int

const (
	DefaultNone DefaultTenant = iota
	DefaultUser
	DefaultDatabase
)

// TenantResolver tells which tenant an RPC belongs to: that of the longest prefix of its key, else of the user or the database
// that its client named at its start, else what Own says, else Others.
type TenantResolver struct {
	prefixes  *PrefixTrie
	users     map[string]Tenant
	databases map[string]Tenant
	own       DefaultTenant
	others    Tenant
}

// NewTenantResolver makes a tenancy of its rules.
func NewTenantResolver(prefixes, users, databases map[string]Tenant, own DefaultTenant, others Tenant) *TenantResolver {
	return &TenantResolver{prefixes: NewPrefixTrie(prefixes), users: users, databases: databases, own: own, others: others}
}

// Resolve is the tenant of an RPC.
func (y *TenantResolver) Resolve(key, user, database string) Tenant {
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
	case y.own == DefaultUser && user != "":
		return Tenant(user)
	case y.own == DefaultDatabase && database != "":
		return Tenant(database)
	}
	return y.others
}
