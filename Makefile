# Targets for newcomers and for CI. Each sets up what it needs in .venv.

VENV := .venv
PYTHON := $(VENV)/bin/python
DEPLOYMENT ?= izmir
PACKAGES := common daemon cli standins
SOURCES := packages benchmarks

.PHONY: demo smoke test check unit

$(VENV)/.ready: requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),-e packages/redwingscale-$(package))
	touch $@

demo: $(VENV)/.ready
	$(PYTHON) -m redwingscale_standins.launcher --deployment $(DEPLOYMENT)

smoke: $(VENV)/.ready
	$(PYTHON) -m redwingscale_standins.launcher --deployment $(DEPLOYMENT) --smoke

check: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy $(foreach package,$(PACKAGES),packages/redwingscale-$(package)/src)

unit: $(VENV)/.ready
	$(PYTHON) -m pytest -n 10

test: check unit
