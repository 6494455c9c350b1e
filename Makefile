# Sets up a virtual environment from the lock file; `make run` and `make test`
# need nothing else on a machine with Python 3.11 and the package registries.
VENV := .venv
PY := $(VENV)/bin/python
ARGS :=
PYTEST_ARGS :=

# The users' bench and the folder of its site files, for `make regression`.
BENCH :=
SITES :=
JOBS := 3

.PHONY: setup run test lint format lock regression hunts clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	$(PY) -m pip install --quiet --no-deps -e .
	touch $@

run: setup
	$(VENV)/bin/cyclamenscale local $(ARGS)

test: setup
	$(PY) -m pytest $(PYTEST_ARGS)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lock:
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet pip-tools
	$(VENV)/bin/pip-compile --quiet --extra dev --strip-extras \
	    --allow-unsafe --no-emit-index-url --no-emit-find-links \
	    --no-emit-trusted-host --output-file requirements.lock pyproject.toml

# Plays the days of deploy/regression.txt; see docs/regression.md.
regression:
	@test -x "$(BENCH)" || { echo "set BENCH and SITES"; exit 2; }
	@grep -v '^#' deploy/regression.txt | while read kind site days; do \
	    quick=$$(test $$kind = quick && echo --quick); \
	    $(BENCH) score $(SITES)/$$site $$quick --jobs $(JOBS) \
	        --why "regression" || exit 1; \
	done

hunts:
	@test -x "$(BENCH)" || { echo "set BENCH and SITES"; exit 2; }
	@grep -v '^#' deploy/regression.txt | while read kind site days; do \
	    test $$days = 0 || $(BENCH) hunt $(SITES)/$$site --days $$days \
	        --jobs $(JOBS) --why "regression" || exit 1; \
	done

clean:
	rm -rf $(VENV) build *.egg-info .pytest_cache .hypothesis .ruff_cache
