PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := base state upstreams routing serving daemon standins
TOPOLOGY ?= akureyri
SEED ?= 1
ROUNDS ?= 20

.PHONY: setup demo test lint binary bench faults capacity mutations soak

setup: $(VENV)/.done

$(VENV)/.done: requirements.lock $(foreach l,$(LIBS),libs/$(l)/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation $(foreach l,$(LIBS),-e libs/$(l)) -e platform
	touch $@

demo: setup
	$(BIN)/ruddersaddle-standin demo --topology $(TOPOLOGY)
	$(BIN)/python -m ruddersaddle_platform.tests.demos

lint: setup
	$(BIN)/ruff format --check libs platform
	$(BIN)/ruff check libs platform

test: setup
	$(BIN)/python -m ruddersaddle_standins.suites

binary: setup
	$(BIN)/python -m ruddersaddle_standins.binaries build/ruddersaddle

faults: setup
	$(BIN)/ruddersaddle-standin faults --seed $(SEED) --rounds $(ROUNDS)

soak: setup
	$(BIN)/python -m ruddersaddle_platform.tests.soaks --seeds $(ROUNDS) --keep-logs build/soak

mutations: setup
	$(BIN)/ruddersaddle-standin mutations

bench: setup
	$(BIN)/ruddersaddle-standin bench --seed $(SEED)

capacity: setup
	$(BIN)/ruddersaddle-standin capacity
