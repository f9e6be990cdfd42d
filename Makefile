PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: install demo test lint
install: $(VENV)/.stamp

$(VENV)/.stamp: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: install
	$(BIN)/seam-demo

test: install
	$(BIN)/python -m sapphireseam.tools.ci

lint: install
	$(BIN)/ruff format --check sapphireseam
	$(BIN)/ruff check sapphireseam
