# make run, make test and make fleet do everything on a fresh machine with Go.
# A pipe fails when any part of it does: else a failed run behind grep exits 0.
SHELL := /bin/bash
.SHELLFLAGS := -o pipefail -ec

BUILD := $(CURDIR)/build
TOOLS := $(BUILD)/tools
FIRST_PORT := 17000
FLEET = $(BUILD)/oriolegw-fleet -programs $(BUILD) -work $(BUILD)/fleet -first-port $(FIRST_PORT)

.PHONY: all build run fleet test check format tools clean

all: build

build:
	go build -o $(BUILD)/ ./cmd/...

run: build
	$(FLEET) -kill

fleet: build
	$(FLEET) -keep -describe $(BUILD)/fleet.json

tools: $(TOOLS)/staticcheck $(TOOLS)/gofumpt

$(TOOLS)/staticcheck: tools/go.mod
	cd tools && go build -o $@ honnef.co/go/tools/cmd/staticcheck

$(TOOLS)/gofumpt: tools/go.mod
	cd tools && go build -o $@ mvdan.cc/gofumpt

# gopls renames an identifier in every use: build/tools/gopls rename -w FILE:LINE:COLUMN NAME
.PHONY: gopls
gopls: $(TOOLS)/gopls

$(TOOLS)/gopls: tools/gopls/go.mod
	cd tools/gopls && go build -o $@ golang.org/x/tools/gopls

format: tools
	$(TOOLS)/gofumpt -w cmd internal pkg platform

check: tools
	@out=$$($(TOOLS)/gofumpt -l cmd internal pkg platform); if [ -n "$$out" ]; then echo "not formatted (make format):"; echo "$$out"; exit 1; fi
	go vet ./...
	$(TOOLS)/staticcheck ./...

test: check build
	go test ./...

clean:
	rm -rf $(BUILD)

# make soak SEEDS=N FROM=K runs paired faults over N seeds from seed K, on
# PER_ZONE instances in each zone and a budget of CONNECTIONS.
SEEDS ?= 100
FROM ?= 1
PER_ZONE ?= 1
CONNECTIONS ?= 60
.PHONY: soak
soak:
	go test ./internal/standin/soaker -run 'TestSoak$$' -count=1 -timeout 60m -v -seeds=$(SEEDS) -from=$(FROM) -per-zone=$(PER_ZONE) -connections=$(CONNECTIONS) | grep -vE '^(=== RUN|    --- PASS)'
# docs writes the pages that are made from the code.
.PHONY: docs
docs:
	go run ./internal/documenter/write
.PHONY: slopes

# slopes prints what control costs at several sizes; docs/CAPACITY.md uses it.
slopes:
	@go test ./internal/standin/mesher -run TestSlopes -slopes -v -timeout 20m | grep -E '=[0-9]|^ok|FAIL'

# make fleet-scale prints what a restart of all instances, a change of the configuration and the
# loss of a member cost at 9 to 1,828 instances, on virtual time.
.PHONY: fleet-scale
fleet-scale:
	@go test ./internal/exchanger -run TestFleetScale -fleet-scale -count=1 -v -timeout 30m | grep -E 'fleet-scale|^ok|FAIL|expected'

# make measure prints one line per figure: name, value, unit, baseline.
.PHONY: measure
measure:
	@go test ./internal/standin/measurer -count=1 -timeout 30m -v -measure | grep -E '^ *(measure |--- FAIL|FAIL|ok|panic)' | sed 's/^measure //'

# make bench prints the proxy's own cost on loopback: name, value through the
# proxy, unit, value of a direct connection to the stand-in in the same run.
.PHONY: bench
bench: build
	$(BUILD)/oriolegw-fleet -programs $(BUILD) -work $(BUILD)/bench -first-port 18000 -bench

# faults throws every fault of the fleet in turn, under load, with real processes.
.PHONY: faults
faults: build
	$(FLEET) -faults

# soak-platform plays random faults over entry instances, the platform's stand-in and a
# group of line members, on virtual time: make soak-platform SEEDS=100 FROM=1
.PHONY: soak-platform
soak-platform:
	go test ./internal/launcher -run 'Test(Followers)?Soak$$' -count=1 -timeout 60m -v -seeds=$(SEEDS) -from=$(FROM) | grep -vE '^(=== RUN|    --- PASS)'

# soak-process does the same with entry instances as processes on real sockets, and sends
# them signals: make soak-process SEEDS=50 FROM=1; logs of failed seeds go to build/soak.
.PHONY: soak-process
soak-process:
	go test ./internal/launcher -run 'TestProcessSoak$$' -count=1 -timeout 60m -v -process-seeds=$(SEEDS) -process-from=$(FROM) -process-lasts=14s -process-logs=$(BUILD)/soak | grep -vE '^(=== RUN|    --- PASS)'
