.PHONY: install demo test lint

install:
	python3 -m pip install --quiet --editable '.[dev]'

demo:
	sh scripts/demo.sh

test:
	python3 -m tests

lint:
	ruff format --check .
	ruff check --quiet .
	flake8
	mypy
