GO ?= go
BIN := bin
GATE := $(BIN)/coltsfoot-gate KNOWN-RED.txt

# Tests that call bubble.TestOnAllProcessors: the race detector crashes in them on arm64.
WITHOUT_RACE_DETECTOR := ^(TestControlTrafficOfAGatewayDoesNotGrowWithTheirNumber|TestStoreCallsDoNotGrowWithTheNumberOfGateways)$$

.PHONY: build demo test bench lint slopes skew tools

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/coltsfoot-demo

# The scenarios in ./test, the soak and the crowds build the binaries themselves, which the test cache cannot see. They run one
# package at a time.
test: build
	$(GO) test -race -json $$($(GO) list ./... | grep -v '/test\(/soak\|/crowd\)\?$$') | $(GATE)
ifeq ($(shell $(GO) env GOARCH),arm64)
	$(GO) test -json -run '$(WITHOUT_RACE_DETECTOR)' ./pkg/gateway | $(GATE)
endif
	$(GO) test -race -count=1 -p 1 -json ./test ./test/soak ./test/crowd | $(GATE)

bench:
	$(GO) test -p 1 -run '^$$' -bench . -benchmem ./...

# Measures what each further peer, change or organisation costs; docs/CAPACITY.md quotes a run.
slopes: build
	$(GO) run ./internal/slopes --bin $(BIN)

# Prints the measurement of rebalancing under drift and draws it.
skew: build
	$(BIN)/coltsfoot-skew --plot docs/design/skew.svg

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	@! grep -rn --include='*_test.go' 'synctest\.Test(' . || { echo "use bubble.Test: internal/bubble says why"; exit 1; }

# Installs the language server, whose renames follow every use of a name.
tools:
	$(GO) install golang.org/x/tools/gopls@v0.23.0
