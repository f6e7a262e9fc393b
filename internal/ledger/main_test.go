package ledger

import (
	"testing"

	"sedgespread/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
