GO ?= go
BIN := bin

.PHONY: build demo test bench lint

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/coltsfoot-demo

test:
	$(GO) test -race ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
