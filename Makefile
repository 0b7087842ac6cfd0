# Everything is built from source with Go; see README.md.
GO ?= go
BIN := bin

.PHONY: build demo test check generate docs fuzz clean

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./standin/cmd/...

demo: build
	$(BIN)/zinccove-demo --bin $(BIN)

# SKIP is a pattern of tests to pass over; CI sets it from KNOWN-RED.txt. Tests by processes
# build their programs themselves, so that a kept result says nothing of them. They take some eight
# minutes beside other work, and longer on a busy machine.
test:
	$(GO) test $(if $(SKIP),-skip '$(SKIP)') ./...
	$(GO) test -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./standin/...

# check runs all that CI runs.
check:
	bash .ci/run

# generate makes the code from the proto files; the generators are pinned in
# tools/go.mod.
generate:
	bash tools/generate

docs:
	$(GO) run ./cmd/zinccoved --example > docs/zinccoved.example.ini
	$(GO) run ./cmd/zinccoved --metrics > docs/metrics.md

clean:
	rm -rf $(BIN)
