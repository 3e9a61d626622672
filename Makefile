PYTHON ?= python3
BIN := .venv/bin
SETUP := .venv/.installed

.PHONY: demo test lint schema setup

setup: $(SETUP)

$(SETUP): requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(SETUP)

demo: setup
	$(BIN)/python examples/demo.py

test: setup
	$(BIN)/python -m nose2 --config nose2.cfg

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Needs grpcio-tools, which nothing else does.
schema:
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. \
		--grpc_python_out=. --pyi_out=. poplarlug/schema/operators.proto
