PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test check format docs clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/rowanlab demo

test: setup
	$(BIN)/python -m nose2 --config unittest.cfg --top-level-directory .

check: setup
	$(BIN)/ruff format --check src platform tests
	$(BIN)/ruff check src platform tests
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: setup
	$(BIN)/ruff format src platform tests
	$(BIN)/ruff check --fix src platform tests

docs: setup
	$(BIN)/rowanlab docs

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .hypothesis
