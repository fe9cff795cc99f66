PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo build bench slopes format clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/pytest

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(VENV)/.installed
	$(BIN)/python -m standins.demo

clean:
	rm -rf $(VENV) build dist

bench: $(VENV)/.installed
	$(BIN)/python -m bench

slopes: $(VENV)/.installed
	$(BIN)/python -m bench.slopes
