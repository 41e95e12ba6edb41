CONFIG ?= config.json
SETUP = test -d $(1) || python3 -m venv $(1)
DEV = .venv-dev/bin

.PHONY: build service lab dev test lint run demo bench-callers bench-store bench-discovery bench-lab bench-levels bench-xds bench-fleet bench-scale bench-soak control

build:
	$(call SETUP,.venv)
	.venv/bin/pip -q install -r requirements.txt

service: build
	.venv/bin/pip -q install -r requirements-service.txt
	.venv/bin/pip -q install --no-deps -e .

control: service
	.venv/bin/pip -q install -r requirements-xds.txt

lab: service
	.venv/bin/pip -q install -r requirements-lab.txt

dev:
	$(call SETUP,.venv-dev)
	$(DEV)/pip -q install -r requirements.txt -r requirements-service.txt -r requirements-lab.txt -r requirements-xds.txt -r requirements-dev.txt
	$(DEV)/pip -q install --no-deps -e .

lint: dev
	$(DEV)/ruff check . && $(DEV)/ruff format --check . && $(DEV)/mypy && $(DEV)/lint-imports

test: dev
	$(DEV)/ruff check . && $(DEV)/ruff format --check . && $(DEV)/mypy && $(DEV)/lint-imports && $(DEV)/pytest -q -n 4 --dist loadfile

run: build
	EDGE_CONFIG=$(CONFIG) exec .venv/bin/python -m hoistplank

demo: service
	.venv/bin/hoistplank demo

bench-callers: dev
	$(DEV)/python -m benchmarks.callers

bench-store: dev
	$(DEV)/python -m benchmarks.store

bench-discovery: dev
	$(DEV)/python -m benchmarks.discovery

bench-lab: dev
	$(DEV)/python -m benchmarks.lab

bench-levels: dev
	$(DEV)/python -m benchmarks.levels

bench-xds: dev
	$(DEV)/python -m benchmarks.xds

bench-fleet: dev
	$(DEV)/python -m benchmarks.fleet

bench-scale: dev
	$(DEV)/python -m benchmarks.scale

bench-soak: dev
	$(DEV)/python -m benchmarks.soak
