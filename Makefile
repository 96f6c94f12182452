# Set-up and checks; each target installs what it needs into .venv.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: quickstart test lint check matrix clean

.venv/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -c constraints.txt -e '.[test]'
	touch .venv/ready

quickstart: .venv/ready
	$(BIN)/galenashed quickstart

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 galenashed benchmarks examples
	$(BIN)/mypy

check: .venv/ready
	$(BIN)/python -m pytest -m "not serial"
	$(BIN)/python -m pytest -m serial -n 0

test: lint check

matrix: .venv/ready
	GALENASHED_MATRIX=all GALENASHED_MATRIX_PAGE=docs/FAULT-MATRIX.md \
		$(BIN)/python -m pytest -n 0 galenashed/tests/test_matrix.py

clean:
	rm -rf .venv build *.egg-info
