package trials

import (
	"context"
	"fmt"
	"time"

	"sedgespread/internal/emulator/sockets"
)

// ClientFloodTable plays floods of several forms, by several numbers of clients, against drivers of several sizes.
type ClientFloodTable struct {
	Program     string
	Seed        uint64
	Forms       []FloodForm
	Clients     []int
	Sizes       []sockets.Limits
	Usual       int // usual clients
	Calm, Flood time.Duration
}

// FloodSizes are the sizes of drivers in the results' table, the smallest first.
var FloodSizes = []sockets.Limits{{Cores: 1, MemoryMB: 32, Sockets: 256}, {Cores: 1, MemoryMB: 64, Sockets: 512}, {Cores: 1, MemoryMB: 192, Sockets: 1024}}

// Run plays all runs one after another and returns the table.
func (t *ClientFloodTable) Run(ctx context.Context) (table string, err error) {
	var rows [][]string
	for _, size := range t.Sizes {
		for _, form := range t.Forms {
			for _, clients := range t.Clients {
				trial := ClientFlood{Program: t.Program, Seed: t.Seed, Limits: size, UsualClients: t.Usual, FloodClients: clients, Form: form,
					Calm: t.Calm, Flood: t.Flood}
				row := []string{fmt.Sprintf("%d MB, %d", size.MemoryMB, size.Sockets), string(form), fmt.Sprint(clients)}
				result, err := trial.Run(ctx)
				if ctx.Err() != nil {
					return "", ctx.Err()
				}
				rows = append(rows, append(row, resultCells(&trial, result, err)...))
				if form == FloodNone {
					break
				}
			}
		}
	}
	return markdownTable([]string{"memory, descriptors", "form", "clients", "usual requests", "late", "unanswered", "ended", "crossed", "refused", "failed",
		"served a second, of calm", "99th percentile, calm", "with the flood", "peak memory", "sent after a close", "silences"}, rows), nil
}

// resultCells returns the cells of a row behind its first three.
func resultCells(trial *ClientFlood, result *ClientFloodResult, err error) []string {
	if err != nil {
		return []string{err.Error()}
	}
	calm, flood := result.Calm, result.Flood
	served := float64(flood.Served) / trial.Flood.Seconds() / (float64(calm.Served) / trial.Calm.Seconds())
	cells := []string{}
	for _, count := range []int{flood.total(), flood.Late, flood.Unanswered, flood.Ended, flood.Crossed, flood.Refused, flood.Failed} {
		cells = append(cells, fmt.Sprint(count))
	}
	return append(cells, formatShare(served), formatMillis(calm.P99), formatMillis(flood.P99), fmt.Sprintf("%d MB", result.PeakMemoryMB),
		fmt.Sprint(result.SentAfterClose), fmt.Sprint(result.Silences))
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
