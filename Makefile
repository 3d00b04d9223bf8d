# Targets: demo, test, bench, check, venv.  PYTHON chooses the interpreter.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench check venv

venv: $(STAMP)

$(STAMP): deploy/requirements.txt requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: venv
	$(BIN)/jackdawridge demo

test: venv
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

bench: venv
	$(BIN)/python -m benchmarks

check: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 jackdawridge tests benchmarks
	$(BIN)/mypy
