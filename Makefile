MODULES := api core daemon platform cli testbed
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))

.PHONY: build test race lint demo

build:
	go build -o bin/ ./daemon/cmd/... ./cli/cmd/... ./testbed/cmd/...

lint:
	@unformatted=$$(gofmt -l $(MODULES)); test -z "$$unformatted" || { echo "gofmt would change: $$unformatted"; exit 1; }
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# The crowds fill the memory of their processes. They run by themselves, after the other tests.
CROWDS := ./testbed/crowd

test: build
	go test -race -count=1 -timeout 20m $$(go list $(PACKAGES) | grep -v '/testbed/crowd$$')
	go test -race -count=1 -timeout 20m $(CROWDS)
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known to fail and passed over: /' || true

demo: build
	./bin/demo
