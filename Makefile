LINT := go tool -modfile=tools/lint/go.mod golangci-lint
BUF := go tool -modfile=tools/gen/go.mod buf
BENCHSTAT := go tool -modfile=tools/bench/go.mod benchstat

.PHONY: build
build: ## compile every program into bin/
	go build -o bin/ ./cmd/...

.PHONY: fmt
fmt: ## format the sources
	$(LINT) fmt

.PHONY: fmt-check
fmt-check: ## fail if a source is not formatted
	$(LINT) fmt --diff

.PHONY: lint
lint: ## run go vet and the linter
	go vet ./...
	$(LINT) run ./...

.PHONY: test
test: ## run every test with the race detector; the failures in KNOWN-RED.txt don't count
	go run ./tools/known-red

.PHONY: bench
bench: ## run the benchmarks
	go test -run '^$$' -bench . ./...

.PHONY: measures
measures: ## measure the product and its baselines, and print the table of results
	mkdir -p bin
	go test -count=1 -timeout 2h -parallel 3 ./internal/bench -measures.long -measures.file $(CURDIR)/bin/measures.md > bin/measures.log 2>&1; status=$$?; cat bin/measures.md; exit $$status

.PHONY: generate
generate: ## regenerate the committed code from api/
	$(BUF) generate

.PHONY: slopes
slopes: build ## measure the figures of docs/CAPACITY.md; takes under three minutes
	bin/slopes
	go test -count 1 -run TestGrowth -v ./internal/services/fleet -args -fleet-sizes 90,270,590
