# moorspool's front door. PROFILE is kilima or nguyen-gia.
PROFILE ?= kilima
GO ?= go
TAGS ?= stdjson

SECONDS ?= 60

.PHONY: all build demo test matrix soak soak-processes race capacity policy load events fuzz lint bench clean

all: build

build:
	$(GO) build -tags $(TAGS) -o bin/ ./cmd/...

demo: build
	scripts/demo.sh $(PROFILE)

# test runs all tests but those that KNOWN-RED.txt lists.
test:
	GO="$(GO)" TAGS="$(TAGS)" scripts/test.sh

# matrix prints the cells of docs/FAULTS.md that ran and failed.
matrix:
	@$(GO) test -tags $(TAGS) -count=1 -v -run '^TestMatrix$$' ./src/control | awk '/^ +--- PASS/ {ok++} /^ +--- FAIL/ {bad++; print} END {printf "%d cells run, %d failed\n", ok + bad, bad; exit bad > 0}'

# soak runs the properties over free seeds until SECONDS have passed.
soak:
	@end=$$(($$(date +%s) + $(SECONDS))); while [ $$(date +%s) -lt $$end ]; do \
		MOORSPOOL_SOAK=1 $(GO) test -tags $(TAGS) -count=1 -run 'Random|Promises|Never' ./src/control ./src/gateway ./src/planner || exit 1; done

# soak-processes strikes at the real processes, with a seed.
SEED ?= 1
soak-processes:
	$(GO) build -tags $(TAGS),soak -o target/ ./cmd/moorspool-fleet-gateway ./cmd/moorspool-fleet-control ./soak
	target/soak --seed $(SEED) --seconds $(SECONDS)

# race runs all tests under the race detector.
race:
	$(GO) test -race -tags $(TAGS) ./...

# capacity measures the slopes of docs/CAPACITY.md, in about two minutes.
capacity: build
	scripts/capacity.sh

# load drives kilima's processes up to 1.5 times their capacity, in two minutes.
load: build
	scripts/load.sh

# policy runs the policy bench: a table here, CSV and plots under run/policy.
policy: build
	bin/moorspool-emulator policy examples/policy/*.yaml

events:
	UPDATE_EVENTS=1 $(GO) test -tags $(TAGS) -count=1 -run TestCatalogue ./src/event

fuzz:
	$(GO) test -tags $(TAGS) -run '^$$' -fuzz FuzzParse -fuzztime 20s ./src/config
	$(GO) test -tags $(TAGS) -run '^$$' -fuzz FuzzReplicaCall -fuzztime 20s ./platform
	$(GO) test -tags $(TAGS) -run '^$$' -fuzz FuzzRetryAfter -fuzztime 20s ./platform
	$(GO) test -tags $(TAGS) -run '^$$' -fuzz FuzzLimit -fuzztime 20s ./platform

lint:
	@test -z "$$(gofmt -l cmd src platform soak bench)" || { gofmt -l cmd src platform soak bench; echo "gofmt would change these files"; exit 1; }
	$(GO) vet -tags $(TAGS) ./...
	$(GO) tool staticcheck -tags $(TAGS) ./...

bench:
	$(GO) test -tags $(TAGS) -run '^$$' -bench . ./...

clean:
	rm -rf bin run
