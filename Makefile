# Contributor's front door; CONTRIBUTING.md describes the targets.
VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: all venv demo test lint format bench deep emulate soak soak-cases clean

all: lint test

$(VENV)/.installed: requirements/lock.txt pyproject.toml
	python3.11 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-virtualenv --no-deps -r requirements/lock.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(PY) -m sardineproxy demo

# PYTEST_FLAGS: CI deselects the tests that KNOWN-RED.txt lists.
test: venv
	$(PY) -m pytest $(PYTEST_FLAGS)

deep: venv
	HYPOTHESIS_PROFILE=deep $(PY) -m pytest tests

lint: venv
	$(VENV)/bin/ruff format --check sardineproxy tests
	$(VENV)/bin/flake8 sardineproxy tests
	$(VENV)/bin/mypy

format: venv
	$(VENV)/bin/ruff format sardineproxy tests

# Random faults at real node processes: SEEDS fresh seeds, or one with SEED=N.
SEEDS ?= 10
soak: venv
	$(PY) -m tests.soak --count $(SEEDS) $(if $(SEED),--seed $(SEED))

# Random faults at real nodes in virtual time: SEEDS hunts from SEED on.
emulate: venv
	$(PY) -m sardineproxy emulate --count $(SEEDS) $(if $(SEED),--seed $(SEED))

# The seeds that failed once.
soak-cases: venv
	$(PY) -m tests.soak --cases

bench: venv
	$(PY) -m sardineproxy bench

clean:
	rm -rf $(VENV) build *.egg-info
