package cells

// DefaultTenant selects the name that becomes the tenant if no rule matches.
type DefaultTenant int

const (
	DefaultNone DefaultTenant = iota
	DefaultUser
	DefaultDatabase
)

// TenantResolver maps an RPC to its tenant: by the longest matching key prefix, else by the user,
// else by the database of the client's connection, else by the default.
type TenantResolver struct {
	prefixes      *PrefixTrie
	users         map[string]Tenant
	databases     map[string]Tenant
	defaultTenant DefaultTenant
	fallback      Tenant
}

// NewTenantResolver returns a resolver with the given rules.
func NewTenantResolver(prefixes, users, databases map[string]Tenant, defaultTenant DefaultTenant, fallback Tenant) *TenantResolver {
	return &TenantResolver{prefixes: NewPrefixTrie(prefixes), users: users, databases: databases, defaultTenant: defaultTenant, fallback: fallback}
}

// Resolve returns the tenant of an RPC.
func (r *TenantResolver) Resolve(key, user, database string) Tenant {
	if t, found := r.prefixes.Longest(key); found {
		return t
	}
	if t, found := r.users[user]; found {
		return t
	}
	if t, found := r.databases[database]; found {
		return t
	}
	switch {
	case r.defaultTenant == DefaultUser && user != "":
		return Tenant(user)
	case r.defaultTenant == DefaultDatabase && database != "":
		return Tenant(database)
	}
	return r.fallback
}
