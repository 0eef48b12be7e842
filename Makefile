# all set-up happens here: a fresh machine needs Python 3.11 or newer, make and a package index
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/node packages/cli
SOURCES := packages tests bench

.PHONY: demo test lint unit soak traffic-soak deadly-soak deadly-part-soak load-soak long-answer-soak partition-soak ending-soak retry-soak once-soak distance-soak stop-soak silence-soak proofs bench capacity clean

$(STAMP): constraints.txt requirements-test.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-test.txt
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

demo: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.demo

test: lint unit

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(PACKAGES:%=%/src) tests
	$(BIN)/lint-imports --no-cache

unit: $(STAMP)
	$(BIN)/pytest --numprocesses 4

clean:
	rm -rf $(VENV)

SECONDS ?= 60
SEED ?= 1

soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.soak --seconds $(SECONDS) --seed $(SEED)

SEEDS ?= 1 2 3

traffic-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.trafficsoak --seconds $(SECONDS) --seeds $(SEEDS)

deadly-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.deadlysoak --seconds $(SECONDS) --seeds $(SEEDS)

deadly-part-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.deadlysoak --parts --seconds $(SECONDS) --seeds $(SEEDS)

load-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.loadsoak --seconds $(SECONDS) --seeds $(SEEDS)

long-answer-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.longanswersoak --seconds $(SECONDS) --seeds $(SEEDS)

partition-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.partitionsoak --seconds $(SECONDS) --seeds $(SEEDS)

ending-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.endingsoak --seconds $(SECONDS) --seeds $(SEEDS)

retry-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.retrysoak --seconds $(SECONDS) --seeds $(SEEDS)

once-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.oncesoak --seconds $(SECONDS) --seeds $(SEEDS)

distance-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.distancesoak --seconds $(SECONDS) --seeds $(SEEDS)

stop-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.stopsoak --seconds $(SECONDS) --seeds $(SEEDS)

silence-soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.silencesoak --seconds $(SECONDS) --seeds $(SEEDS)

proofs: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m rig.proofs

bench: $(STAMP)
	PYTHONPATH=tests $(BIN)/python bench/joins.py
	PYTHONPATH=tests $(BIN)/python bench/path.py
	PYTHONPATH=tests $(BIN)/python bench/overload.py
	PYTHONPATH=tests $(BIN)/python bench/recovery.py
	PYTHONPATH=tests $(BIN)/python bench/placing.py
	PYTHONPATH=tests $(BIN)/python bench/chains.py
	PYTHONPATH=tests $(BIN)/python bench/demand.py
	PYTHONPATH=tests $(BIN)/python bench/blame.py
	PYTHONPATH=tests $(BIN)/python bench/onenode.py

capacity: $(STAMP)
	PYTHONPATH=tests $(BIN)/python bench/capacity.py
