package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const whole = `admin { listen: "127.0.0.1:7400" }
cells {
  cell { name: "a" group: [1, 2] }
  cell {
    name: "b"
    # behind the other hall
    group: 3
    hall: "turin"
  }
  tenancy {
    rule { prefix: "x/" tenant: "x" }
    others: "rest"
  }
  tenant { name: "x" cell: "b" hall: "turin" }
  budget { rpcs: 10 call_outs: 10 lend: 0.5 }
  coordination {
    at: "127.0.0.1:7410"
    lease_ms: 1000
    hold_ms: 500
    held: 10
  }
}
`

// Guards against files that say what nobody meant: each fault is told with its line and field, and the file counts for
// nothing.
func TestFileErrors(t *testing.T) {
	_, err := Parse("f", []byte(whole))
	require.NoError(t, err)
	for _, c := range []struct{ old, new, says string }{
		{`hall: "turin"`, `halls: "turin"`, "f:8: cells.cell[1].halls: unknown field: halls"},
		{`group: 3`, `group: "three"`, "f:7: cells.cell[1].group: invalid value for int64"},
		{`held: 10`, `held: -10`, "f:20: cells.coordination.held: invalid value for uint32"},
		{`others: "rest"`, `others: "rest" others: "all"`, `f:12: cells.tenancy.others[1]: non-repeated field "others" is repeated`},
		{`name: "b"`, `name: "a"`, `f:5: cells.cell[1].name: "a" stands twice`},
		{`name: "b"`, ``, `f:4: cells.cell[1].name: is missing`},
		{`group: 3`, `group: 2`, `f:7: cells.cell[1].group[0]: group 2 stands in cell "a" already`},
		{`group: 3`, `group: -3`, `f:7: cells.cell[1].group[0]: -3 is out of range`},
		{`group: 3`, ``, `f:4: cells.cell[1].group: cell "b" has none`},
		{`group: 3`, `group: 3 weight: -1`, `f:7: cells.cell[1].weight: -1 is out of range`},
		{`group: 3`, `group: 3 weight: nan`, `f:7: cells.cell[1].weight: NaN is out of range`},
		{`hall: "turin"`, `capacity: inf`, `f:8: cells.cell[1].capacity: +Inf is out of range`},
		{`group: [1, 2]`, `group: [1, 2] weight: 0 } cell { name: "c" group: 9 weight: 0 } cell { name: "d" group: 10`, ""},
		{`others: "rest"`, ``, `f:10: cells.tenancy.others: is missing`},
		{`prefix: "x/"`, `prefix: "x/" user: "u"`, `f:11: cells.tenancy.rule[0]: 2 of prefix, user and database are given`},
		{`prefix: "x/"`, ``, `f:11: cells.tenancy.rule[0]: 0 of prefix, user and database are given`},
		{`others: "rest"`, `others: "rest" rule { prefix: "x/" tenant: "y" }`, `f:12: cells.tenancy.rule[1]: prefix x/ stands twice`},
		{`others: "rest"`, `others: "rest" rule { prefix: "y/" }`, `f:12: cells.tenancy.rule[1].tenant: is missing`},
		{`others: "rest"`, `others: "rest" own: 7`, `f:12: cells.tenancy.own: 7 is none of the values`},
		{`cell: "b" hall: "turin"`, `cell: "z"`, `f:14: cells.tenant[0].cell: there is no cell "z"`},
		{`cell: "b" hall: "turin"`, `hall: "rome"`, `f:14: cells.tenant[0].hall: no cell stands in hall "rome"`},
		{`cell: "b" hall: "turin"`, `cell: "a" hall: "turin"`, `f:14: cells.tenant[0].hall: cell "a" stands in hall ""`},
		{`cell: "b" hall: "turin"`, `} tenant { name: "x"`, `f:14: cells.tenant[1].name: "x" stands twice`},
		{`cell: "b" hall: "turin"`, `weight: 0`, `f:14: cells.tenant[0].weight: 0 is out of range`},
		{`rpcs: 10`, `rpcs: 1`, `f:15: cells.budget.rpcs: 1 is less than one for each of 2 cells`},
		{`call_outs: 10`, ``, `f:15: cells.budget.call_outs: 0 is less than one`},
		{`lend: 0.5`, `lend: 1.5`, `f:15: cells.budget.lend: 1.5 is not from 0 to 1`},
		{`at: "127.0.0.1:7410"`, ``, `f:16: cells.coordination.at: is missing`},
		{`at: "127.0.0.1:7410"`, `at: "10.0.0.1:7410"`, `f:17: cells.coordination.at: "10.0.0.1:7410" is not a loopback address`},
		{`at: "127.0.0.1:7410"`, `at: "here"`, `f:17: cells.coordination.at: "here" is not an address and a port`},
		{`listen: "127.0.0.1:7400"`, `listen: "0.0.0.0:7400"`, `f:1: admin.listen: "0.0.0.0:7400" is not a loopback address`},
		{`lease_ms: 1000`, `lease_ms: 100`, `f:18: cells.coordination.lease_ms: 100 is not from 200 to 300000`},
		{`held: 10`, `here: true held: 10`, `f:16: cells.coordination.journal: is missing`},
		{`held: 10`, `journal: "j" held: 10`, `f:20: cells.coordination.journal: is given`},
		{`held: 10`, `fill_hook: "http://example.org/x" held: 10`, `f:20: cells.coordination.fill_hook: "http://example.org/x" is not on a loopback address`},
		{`held: 10`, `fill_hook: "file:///x" held: 10`, `is not an http address`},
		{`cells {`, `cells {{`, "f:2"},
	} {
		require.Contains(t, whole, c.old)
		_, err := Parse("f", []byte(strings.Replace(whole, c.old, c.new, 1)))
		if c.says == "" {
			require.NoError(t, err, c.new)
			continue
		}
		require.Error(t, err, "%s: %s", c.new, c.says)
		require.Contains(t, err.Error(), c.says)
		require.NotContains(t, err.Error(), "\n", "one line")
	}
}

// The same with a council and a fleet.
func TestCouncilErrors(t *testing.T) {
	council := strings.Replace(whole, `at: "127.0.0.1:7410"`, ``, 1) + `council {
  voter { id: 1 at: "127.0.0.1:7411" }
  voter { id: 2 at: "127.0.0.1:7412" }
  voter { id: 3 at: "127.0.0.1:7413" }
  id: 2
  disk: "d"
}
fleet { lease_ms: 1000 most_shut_out: 0.3 }
`
	o, err := Parse("f", []byte(council))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7412", o.VoterAddress())
	require.Len(t, o.CoordinatorAddresses(), 3)
	require.Contains(t, o.Summary(), "coordinated by a council of 3 of which this is voter 2")
	for _, c := range []struct{ old, new, says string }{
		{`id: 3 at`, `id: 2 at`, "f:26: council.voter[2].id: 2 stands twice"},
		{`id: 3 at`, `at`, "f:26: council.voter[2].id: is missing"},
		{`127.0.0.1:7413`, `127.0.0.1:7412`, `f:26: council.voter[2].at: "127.0.0.1:7412" stands twice`},
		{`127.0.0.1:7413`, `10.0.0.1:7412`, "is not a loopback address"},
		{`  voter { id: 3 at: "127.0.0.1:7413" }`, ``, "council.voter: 2 voters: a council begins with 1, 3, 5 or 7"},
		{`id: 2` + "\n", `id: 9` + "\n", "f:27: council.id: voter 9 is none of those"},
		{`disk: "d"`, ``, "council.disk: is missing"},
		{`id: 2` + "\n", "\n", "f:28: council.disk: is given, and this instance is no voter"},
		{`disk: "d"`, `disk: "d" join: true`, "council.join: is given, and voter 2 is one of those"},
		{`disk: "d"`, `disk: "d" tick_ms: 2`, "council.tick_ms: 2 is not from 5 to 1000"},
		{`disk: "d"`, `disk: "d" clock_error_ms: 700000`, "council.clock_error_ms: 700000 is more than"},
		{`disk: "d"`, `disk: "d" tick_ms: 100`, "fleet.lease_ms: 1000 is not from 200 to 300000, or less than 20 ticks"},
		{`disk: "d"`, `disk: "d" listen: "x"`, "council.listen: \"x\" is not an address"},
		{`lease_ms: 1000` + "\n", `at: "127.0.0.1:1" lease_ms: 1000` + "\n", "cells.coordination.at: is given, and the council coordinates"},
		{`lease_ms: 1000` + "\n", `here: true lease_ms: 1000` + "\n", "cells.coordination.here: is given, and the council coordinates"},
		{`lease_ms: 1000 most`, `lease_ms: 100 most`, "f:30: fleet.lease_ms: 100 is not from 200"},
		{"lease_ms: 1000\n", "lease_ms: 900\n", "cells.coordination.lease_ms: 900 is less than 20 ticks"},
		{`most_shut_out: 0.3`, `most_shut_out: 3`, "fleet.most_shut_out: 3 is not from 0 to 1"},
		{`most_shut_out: 0.3`, `forget_s: 90000`, "fleet.forget_s: 90000 is more than"},
	} {
		require.Contains(t, council, c.old)
		_, err := Parse("f", []byte(strings.Replace(council, c.old, c.new, 1)))
		require.ErrorContains(t, err, c.says, c.new)
	}
	_, err = Parse("f", []byte(whole+`fleet { lease_ms: 1000 }`))
	require.ErrorContains(t, err, "fleet: needs a council")
}

// Guards against a rulebook that says what is each instance's own, or nothing that can be acted on.
func TestWithRulebook(t *testing.T) {
	o, err := Parse("f", []byte(whole))
	require.NoError(t, err)
	const good = `cells { cell { name: "a" group: [1, 2] } cell { name: "b" group: 3 } tenancy { others: "all" } tenant { name: "x" weight: 2 } }`
	next, err := o.WithRulebook("r", good)
	require.NoError(t, err)
	require.Equal(t, "all", next.Cells.Tenancy.Others)
	require.Equal(t, o.StartupSettings(), next.StartupSettings())
	require.Equal(t, "rest", o.Cells.Tenancy.Others, "nothing changes here")
	same, err := o.WithRulebook("r", "")
	require.NoError(t, err)
	require.Same(t, o, same)
	for text, says := range map[string]string{
		`admin { listen: "127.0.0.1:1" }`:                 "r: a rulebook says what is in cells, and nothing else",
		`cells { budget { rpcs: 1 } }`:                    "r:1: cells: a rulebook says nothing of budget",
		strings.Replace(good, `others: "all"`, ``, 1):     "r:1: cells.tenancy.others: is missing",
		strings.Replace(good, `group: 3`, `groups: 3`, 1): "unknown field",
	} {
		_, err := o.WithRulebook("r", text)
		require.ErrorContains(t, err, says)
	}
}

func TestRead(t *testing.T) {
	_, err := Read(filepath.Join(t.TempDir(), "none"))
	require.ErrorContains(t, err, "none: ")
	o, err := Read("../../deploy/operator.textproto")
	require.NoError(t, err, "the example is good")
	require.NotEmpty(t, o.Summary())
	empty := filepath.Join(t.TempDir(), "empty")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	o, err = Read(empty)
	require.NoError(t, err)
	require.Nil(t, o.Cells)
}

func FuzzFile(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, text []byte) {
		if o, err := Parse("f", text); err == nil && o.Cells != nil {
			o.AdmissionController(10)
			o.PlannerCells()
		}
	})
}
