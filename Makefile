# make demo: create the environment and run the demo.
# make test: create the environment and run every check.
# make regressions BENCH=FILE SITES="FILE ...": play the users' deployments, one by one.
VENV ?= .venv
BIN := $(VENV)/bin
ROOT := $(CURDIR)
export PYTHONPATH := $(ROOT)/packages/rhubarbwell-core/src:$(ROOT)/packages/rhubarbwell-platform/src:$(ROOT)/packages/rhubarbwell-entry/src:$(ROOT)/packages/rhubarbwell-ops/src
export PYTHONHASHSEED := 0

.PHONY: demo test check format proto regressions

demo: $(VENV)/.ready
	$(BIN)/rhubarbwell demo

test: $(VENV)/.ready
	$(MAKE) check

check:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src platform/rhubarbwell_wire platform/run_entry.py deploy/build.py
	$(BIN)/python -m pytest -n 4 --dist loadfile
	cat KNOWN-RED.txt
	$(BIN)/python -m rhubarbwell_entry --help > /dev/null 2>&1
	$(BIN)/python -m rhubarbwell_ops demo > /dev/null

format:
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Without --quick, for example with SCORE=score, all standard days are played.
SCORE ?= score --quick
JOBS ?= 1

regressions:
	for site in $(SITES); do \
		$(BENCH) $(SCORE) $$site --jobs $(JOBS) --why "regressions of $$(git rev-parse --short HEAD)" || exit 1; \
	done

proto:
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I packages/rhubarbwell-entry/proto \
		--python_out=packages/rhubarbwell-entry/src --pyi_out=packages/rhubarbwell-entry/src \
		--grpclib_python_out=packages/rhubarbwell-entry/src rhubarbwell_entry/peers/wire/peers.proto

$(VENV)/.ready: constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(foreach p,core platform entry ops,-e packages/rhubarbwell-$(p))
	touch $@
