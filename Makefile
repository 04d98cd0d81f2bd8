# moorspool's front door. PROFILE is kilima or nguyen-gia.
PROFILE ?= kilima
GO ?= go
TAGS ?= stdjson

.PHONY: all build demo test lint bench clean

all: build

build:
	$(GO) build -tags $(TAGS) -o bin/ ./cmd/...

demo: build
	scripts/demo.sh $(PROFILE)

test:
	$(GO) test -tags $(TAGS) ./...

lint:
	@test -z "$$(gofmt -l cmd src)" || { gofmt -l cmd src; echo "gofmt would change these files"; exit 1; }
	$(GO) vet -tags $(TAGS) ./...
	$(GO) tool staticcheck -tags $(TAGS) ./...

bench:
	$(GO) test -tags $(TAGS) -run '^$$' -bench . ./...

clean:
	rm -rf bin run
