PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test check format proto golden clean

demo: $(READY)
	$(BIN)/lycheegw demo

test: $(READY)
	$(BIN)/python -m pytest

check: $(READY)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy src/lycheegw

format: $(READY)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

proto: $(READY)
	$(BIN)/python -m grpc_tools.protoc -I src \
	  --python_out=src --pyi_out=src \
	  --plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python \
	  --grpclib_python_out=src src/lycheegw/protocol/pb/*.proto

golden: $(READY)
	$(BIN)/python -m pytest tests/golden --renew-golden

$(READY): requirements-node.txt requirements.txt requirements-dev.txt constraints.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(READY)

clean:
	rm -rf $(VENV)
