# One command for each chore; `make help` lists them.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(addprefix packages/,config decisions http daemon cli testkit) platform
SOURCES := packages platform tests
PYTEST := $(BIN)/python -m pytest

.PHONY: help install demo test cover slow soak lint format types bench clean

help: ## List the chores.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /  /'

$(VENV)/installed: constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement constraints.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(PACKAGES:%=--editable %)
	touch $@

install: $(VENV)/installed ## Install everything into .venv.

demo: install ## Run the whole fleet on this machine and check what it promises.
	$(BIN)/python -m jacinthcroft_testkit.demo

test: cover slow ## Run all tests; known-red ones are printed and passed over.

cover: install ## Run only the fast tests.
	$(PYTEST) -n 4 tests/cover tests/quality

slow: install ## Run only the tests with real processes.
	$(PYTEST) -n 3 --durations=30 tests/slow

format: install ## Rewrite the sources in the house format.
	$(BIN)/ruff check --quiet --fix --select I $(SOURCES)
	$(BIN)/ruff format --quiet $(SOURCES)

types: install
	$(BIN)/mypy

lint: install types ## Check format, style, types and import arrows.
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/lint-imports

soak: install ## Play five seeds of faults against the real programs.
	$(BIN)/python -m tests.soak

bench: install ## Measure against the baselines; writes out/bench.json and a table.
	$(BIN)/python -m jacinthcroft_testkit.bench

clean: ## Remove the virtual environment and caches.
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis out
