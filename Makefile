.PHONY: build test race lint fuzz run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	.ci/run

race:
	go test -race -count=1 -timeout 5m ./...

lint:
	go vet ./...
	@test -z "$$(gofmt -l cmd internal rules)" || { gofmt -l cmd internal rules; exit 1; }

fuzz:
	for target in Statement Client Member Discovery News; do \
		go test -run '^$$' -fuzz "^Fuzz$$target$$" -fuzztime 20s ./internal/protocol || exit 1; \
	done

run: build
	exec bin/sedgespread
