# Two commands do everything: `make run` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run test generate format check-generated

$(VENV)/installed: requirements.txt requirements-report.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

run: $(VENV)/installed
	$(BIN)/python -m bench.demo
	$(BIN)/python -W ignore -m bench.entry_demo

test: $(VENV)/installed check-generated
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/python -m pytest

check-generated: $(VENV)/installed
	$(BIN)/python -m tools.generate --check

generate: $(VENV)/installed
	$(BIN)/python -m tools.generate

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
