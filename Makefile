GO ?= go
# Packages whose goroutines share memory are tested with the race detector as well.
RACE_PACKAGES = ./replica ./control ./peer ./entry ./view ./upstream ./client ./timeline ./retry ./daemon ./pipeline ./dispatch ./platform ./ingress

.PHONY: build demo test check generate bench slopes

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	$(GO) test $(if $(SKIP),-skip '$(SKIP)') ./...
	$(GO) test $(if $(SKIP),-skip '$(SKIP)') -race $(RACE_PACKAGES)

check:
	./scripts/check.sh

generate:
	buf generate

bench:
	$(GO) run ./bench
	$(GO) test -run '^$$' -bench . -benchtime 1x ./...

# The figures that docs/CAPACITY.md is worked out from.
slopes:
	./scripts/slopes.sh
