"""A small deployment of real processes, and the example text reduced to fit it."""

import json

import pytest
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

MODEL = "listing-vetter"


@pytest.fixture
def small_shape():
    return Shape(
        name="small",
        region="r",
        instances_by_id={"i1": "a", "i2": "a"},
        engines=(EngineShape("e1", "a", "alder", 1, 160 * GIGABYTE),),
        plain=(),
        full_speed_loads=4,
    )


@pytest.fixture
def small(make_deployment, small_shape):
    deployment = make_deployment(small_shape)
    return deployment, Client(deployment)


@pytest.fixture
def small_text(izmir_text):
    """Return a factory of the example text with one model only, of ``size_bytes`` if given."""
    whole = json.loads(izmir_text)

    def make(size_bytes=None, share=1):
        model = json.loads(json.dumps(whole["models"][MODEL])) | {"adapters": {}}
        version = model["versions"][model["serving"]]
        version["size_bytes"] = size_bytes or version["size_bytes"]
        caller = whole["callers"]["clerks"] | {"share": share}
        service = {"kind": "model", "callers": ["clerks"], "depends_on": [{"model": MODEL}]}
        value = {
            "deployment": "small",
            "callers": {"clerks": caller},
            "models": {MODEL: model},
            "services": {"vetting": service},
        }
        return json.dumps(value)

    return make
