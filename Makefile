# Builds the environment on a machine with only python3, then runs checks, tests or the demo.

PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed
PACKAGES := policy storage mesh node ctl standins

.PHONY: env test check demo clean

env: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt $(PACKAGES:%=packages/%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -r requirements-dev.txt
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $(STAMP)

test: env
	VENV=$(VENV) .ci/test

check: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	PYTHONPATH=platform $(VENV)/bin/lint-imports
	$(VENV)/bin/mypy

demo: env
	$(VENV)/bin/python -m ibisspoke_standins.demo

clean:
	rm -rf $(VENV)
