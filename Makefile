PYTHON ?= python3
BIN := .venv/bin
ARGS ?=

.PHONY: env demo test check generate format spec soak capacity measure

env: .venv/.installed

.venv/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: env
	$(BIN)/jasminewalk demo $(ARGS)

check: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/generate.py --check
	$(BIN)/python tools/generate_docs.py --check
	$(BIN)/mypy

spec: env
	$(BIN)/python tools/check_spec.py

test: check spec
	$(BIN)/python -m pytest

generate: env
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/generate_docs.py

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: env
	$(BIN)/python tests/soak.py $(ARGS)
	$(BIN)/python tests/gateway_soak.py $(ARGS)
	$(BIN)/python tests/stop_soak.py $(ARGS)
	$(BIN)/python tests/crash_soak.py $(ARGS)
	$(BIN)/python tests/version_soak.py $(ARGS)
	$(BIN)/python tests/drain_soak.py $(ARGS)

measure: env
	$(BIN)/jasminewalk measure $(ARGS)

capacity: env
	$(BIN)/python benchmarks/capacity.py $(ARGS)
