PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
COUNT ?= 5
JOBS ?= 2
MINUTES ?= 5

.PHONY: install quickstart test lint format model soak faults bench capacity catalogues

# The stamp keeps repeated targets from reinstalling unchanged dependencies.
$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -e '.[test,bench]'
	touch $@

install: $(VENV)/.installed

quickstart: install
	$(BIN)/snipelead quickstart $(if $(KEEP),--keep)

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 snipelead specs benchmarks

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

model: install
	$(BIN)/python -m pytest specs

soak: install
	$(BIN)/python -m snipelead.testing.soak --seed $(SEED) --minutes $(MINUTES)

faults: install
	$(BIN)/python -m snipelead.soak --seed $(SEED) --count $(COUNT) --jobs $(JOBS)

bench: install
	$(BIN)/snipelead bench --help

capacity: install
	$(BIN)/python -m benchmarks.capacity

catalogues: install
	$(BIN)/python -m snipelead.utils.catalogues
