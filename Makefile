# Contributor's front door; CONTRIBUTING.md describes the targets.
VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: all venv demo test lint format bench deep clean

all: lint test

$(VENV)/.installed: requirements/lock.txt pyproject.toml
	python3.11 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-virtualenv --no-deps -r requirements/lock.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(PY) -m sardineproxy demo

test: venv
	$(PY) -m pytest

deep: venv
	HYPOTHESIS_PROFILE=deep $(PY) -m pytest tests

lint: venv
	$(VENV)/bin/ruff format --check sardineproxy tests
	$(VENV)/bin/flake8 sardineproxy tests
	$(VENV)/bin/mypy

format: venv
	$(VENV)/bin/ruff format sardineproxy tests

bench: venv
	$(PY) -m sardineproxy bench

clean:
	rm -rf $(VENV) build *.egg-info
