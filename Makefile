GO ?= go
BIN := bin

.PHONY: build run up test proof bench replay capacity clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	scripts/run.sh

up: build
	$(BIN)/snipegw-proof --bin $(BIN) --stay

test:
	scripts/test.sh

proof: build
	$(BIN)/snipegw-proof --bin $(BIN) $(if $(SEED),--seed $(SEED)) $(if $(ONLY),--only $(ONLY))

bench: build
	scripts/bench.sh

replay: build
	scripts/replay.sh

clean:
	rm -rf $(BIN)
