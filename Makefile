VENV := .venv
BIN := $(VENV)/bin
PROTO := $(wildcard src/stagewalk/node/wire/proto/stagewalk/node/wire/*.proto)

.PHONY: setup demo test check soak gateway-soak fuzz proto format clean platform-size platform-day

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/python -m stagewalk_standins.demo

test: setup
	BIN=$(BIN) bash tests/run.sh

check: setup
	BIN=$(BIN) bash tests/run.sh checks-only

soak: setup
	$(BIN)/stagewalk sim sweep --deployment=both --seeds=200 --duration_seconds=600 --faults=storm

# Real gateway processes under random faults:
# make gateway-soak [KIND=stops] [SOAK_SECONDS=60] [SEEDS=1,2] [GATEWAYS=10] [JOBS=1]
gateway-soak: setup
	PYTHONPATH=src:platform:. $(BIN)/python -m tests.soak --kind=$(or $(KIND),all) \
	  --gateways=$(or $(GATEWAYS),0) --jobs=$(or $(JOBS),1) --seconds=$(or $(SOAK_SECONDS),60) --seeds=$(or $(SEEDS),)

# Random input to a real gateway process: make fuzz [SECONDS=600]
fuzz: setup
	FUZZ_SECONDS=$(or $(SECONDS),600) PYTHONPATH=src:platform:. $(BIN)/python -m tests.runner --folders=fuzz

format: setup
	$(BIN)/ruff format . && $(BIN)/ruff check --fix .

proto: setup
	$(BIN)/python -m grpc_tools.protoc -Isrc/stagewalk/node/wire/proto --python_out=src --mypy_out=src $(PROTO)

# A calm day on the users' bench: make platform-day BENCH=<program> SITE=<site file> [DAY=quiet-1]
platform-day:
	$(BENCH) run $(SITE) $(or $(DAY),quiet-1) --why "$(or $(WHY),a calm day)"

# Lines and bytes of the adapter for the users' platform, and the product's beside them.
platform-size:
	@for folder in platform src; do \
	  find $$folder -name '*.py' ! -name '*_pb2.py' -print0 | xargs -0 cat | wc -lc | sed "s/^/$$folder: lines, bytes/"; \
	done

clean:
	rm -rf $(VENV) out
