# limeshelf: run "make help" for what each target does.
PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
DEMO_ARGS ?=
SOAK_ARGS ?=
EXPERIMENT_ARGS ?=

.PHONY: help demo test lint docs bench recovery capacity soak entrysoak mutate experiment proto lock clean

help:  ## Show this list.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 14

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	@touch $(STAMP)

demo: $(STAMP)  ## Start a whole system, use it and leave it up (DEMO_ARGS=--once ends it).
	$(PY) -m demo $(DEMO_ARGS)

test: $(STAMP)  ## Run every check and test; ends with "N passed, N failed".
	$(PY) tests/run_all.py

lint: $(STAMP)  ## Formatter, linter, import contract and type check only.
	$(PY) tests/run_all.py --only lint

docs: $(STAMP)  ## Build the documentation into docs/_build.
	$(PY) -m sphinx -E -W -q -b html docs docs/_build/html

bench: $(STAMP)  ## Measure the request path against a direct connection.
	$(PY) -m benchmarks.path

recovery: $(STAMP)  ## Measure the times of recovery from each kind of failure.
	$(PY) -m benchmarks.recovery

capacity: $(STAMP)  ## Measure the slopes that docs/CAPACITY.md is worked out from.
	$(PY) -m benchmarks.capacity

soak: $(STAMP)  ## Run real gateways under seeded random faults (SOAK_ARGS="--seed 1 --seeds 5").
	$(PY) -m tests.platform_soak $(SOAK_ARGS)

entrysoak: $(STAMP)  ## The same for the programs on our native protocol (SOAK_ARGS="--seed 1 --seconds 60").
	$(PY) -m tests.soak $(SOAK_ARGS)

mutate: $(STAMP)  ## Take each mechanism out in turn and show that its test goes red.
	$(PY) -m tests.mutate

experiment: $(STAMP)  ## Compare placement and admission policies on a virtual clock.
	$(VENV)/bin/limeshelf-experiment $(EXPERIMENT_ARGS)

proto: $(STAMP)  ## Generate the operator RPC code again from its schema.
	$(PY) -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. limeshelf/admin/admin.proto

lock: $(STAMP)  ## Write the versions now installed into requirements.lock.
	$(PY) -m pip freeze --exclude-editable > requirements.lock

clean:  ## Remove what the other targets made.
	rm -rf $(VENV) docs/_build build *.egg-info
