PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
TEST_WORKERS := 4
SEED ?= 1
SEEDS ?= 10

.PHONY: demo test lint format bench capacity soak env

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: env
	$(BIN)/python examples/demo.py

test: env
	$(BIN)/python -m pytest tests -m "not crowd" --numprocesses $(TEST_WORKERS) --dist loadfile
	$(BIN)/python -m pytest tests/memory -m crowd

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: env
	$(BIN)/python -m bench

capacity: env
	$(BIN)/python -m bench.capacity

soak: env
	$(BIN)/python -m tests.soak --first $(SEED) --seeds $(SEEDS)
