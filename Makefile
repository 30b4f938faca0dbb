.DEFAULT_GOAL := help
MODULES := core node platform standin bench
SEED ?= 1
RUNS ?= 1000
BENCH ?= .
FUZZTIME ?= 30s
SOAKTIME ?= 60s
BIN := bin
PACKAGES := $(MODULES:%=./%/...)

.PHONY: help build test tools fmt lint demo model soak bench fuzz generate clean

help: ## list the targets
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the programs into bin/
	go build -o $(BIN)/ ./node/cmd/... ./standin/cmd/... ./bench/cmd/...

tools: ## build the pinned formatter and linter into bin/tools
	cd tools && GOWORK=off go build -o ../$(BIN)/tools/ mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck

fmt: tools ## format all Go files
	$(BIN)/tools/gofumpt -w $(MODULES)

lint: tools ## formatter, vet and staticcheck
	@out=$$($(BIN)/tools/gofumpt -l $(MODULES)); test -z "$$out" || { echo "gofumpt: $$out"; exit 1; }
	go vet $(PACKAGES)
	$(BIN)/tools/staticcheck $(PACKAGES)

test: build lint ## lint and run all tests
	.ci/gotest $(PACKAGES)

demo: build ## run the whole system on loopback for up to 60 s
	$(BIN)/demo --bin $(BIN)

model: ## check the Promela specifications and their mutants with spin
	model/check

soak: ## long randomised runs: make soak SEED=n RUNS=n
	cd core && go test -tags soak -count=1 -timeout 80m ./... -run Soak -rapid.seed=$(SEED) -rapid.checks=$(RUNS)
	go test -count=1 -timeout 80m ./bench/fleet -run Soak -v -soak.seed=$(SEED) -soak.time=$(SOAKTIME)

bench: ## benchmarks: make bench BENCH=regexp
	cd bench && go test -run '^$$' -bench '$(BENCH)' -benchtime 1x -timeout 60m ./...

fuzz: ## fuzz what our own code parses: make fuzz FUZZTIME=30s
	cd core && go test ./settings -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	cd core && go test ./rollout -run '^$$' -fuzz FuzzManifest -fuzztime $(FUZZTIME)
	cd node && go test ./entry -run '^$$' -fuzz FuzzAgentFrames -fuzztime $(FUZZTIME)
	cd core && go test ./eventstream -run '^$$' -fuzz FuzzSplitter -fuzztime $(FUZZTIME)
	cd node && go test ./mesh -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzDecodeFrame -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzRecords -fuzztime $(FUZZTIME)

generate: ## regenerate node/rpc (needs protoc, protoc-gen-go, protoc-gen-twirp)
	protoc -I node/proto --go_out=node/rpc --go_opt=paths=source_relative --twirp_out=node/rpc --twirp_opt=paths=source_relative node/proto/laburnum.proto

clean: ## remove bin/
	rm -rf $(BIN)
