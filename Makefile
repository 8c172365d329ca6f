VENV := .venv
BIN := $(VENV)/bin
PROTO := $(wildcard src/stagewalk/wire/proto/stagewalk/wire/*.proto)

.PHONY: setup demo test check soak proto format clean

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

format: setup
	$(BIN)/ruff format . && $(BIN)/ruff check --fix .

proto: setup
	$(BIN)/python -m grpc_tools.protoc -Isrc/stagewalk/wire/proto --python_out=src --mypy_out=src $(PROTO)

clean:
	rm -rf $(VENV) out
