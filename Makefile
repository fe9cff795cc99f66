PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo build build-check bench slopes cost fleet format clean

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

# Builds one executable file; needs a C compiler and a shared libpython.
build: dist/mallowloft

dist/mallowloft: $(VENV)/.installed $(shell find src packing -name '*.py' -o -name '*.c')
	$(BIN)/python -m packing.build $@

build-check: dist/mallowloft
	$(BIN)/python -m packing.verify $<

# Prints processor time per sub-request and memory; the figures have no bounds.
cost: $(VENV)/.installed
	$(BIN)/python -m bench.cost

# Runs the demo's fleet until Ctrl-C, to try requests by hand.
fleet: $(VENV)/.installed
	$(BIN)/python -m standins.demo --keep

clean:
	rm -rf $(VENV) build dist

bench: $(VENV)/.installed
	$(BIN)/python -m bench

slopes: $(VENV)/.installed
	$(BIN)/python -m bench.slopes
