"""Invalid reports of engines, over real sockets in the dialects of both vendors."""

import json

import pytest
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_daemon._internal.exceptions import ReportInvalid
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl
from redwingscale_standins.engine.alder import AlderApi
from redwingscale_standins.engine.birch import BirchApi
from redwingscale_standins.engine.engine import Engine
from redwingscale_standins.engine.profile import Profile

APIS_BY_VENDOR = {"alder": AlderApi, "birch": BirchApi}
VALID_BY_VENDOR = {
    "alder": {
        "phase": "serving",
        "memory": {
            "capacity_bytes": 10_000_000,
            "resident": [{"unit": "m@v1", "size_bytes": 5_000_000, "phase": "ready"}],
        },
        "load": {"running": 0, "waiting": 0, "slots": 8},
        "fence": 0,
        "orders": {"o1": "done"},
    },
    "birch": {
        "state": "up",
        "gpu_mb": 10.0,
        "slots": [{"slot": "m@v1", "mb": 5.0, "phase": "ready"}],
        "active": 0,
        "queued": 0,
        "batch": 8,
        "tickets": {"o1": "done"},
    },
}
INVALID_REPORTS = {
    "not JSON": lambda text: "<html>",
    "blank": lambda text: " ",
    "wrong type": lambda text: text.replace('"m@v1"', "7"),
    "NaN": lambda text: text.replace("10000000", "NaN").replace("10.0", "NaN"),
    "infinite": lambda text: text.replace("10000000", "1e999").replace("10.0", "1e999"),
    "negative memory": lambda text: text.replace("5000000", "-5").replace("5.0", "-5.0"),
    "more than fits": lambda text: text.replace("5000000", "50000000").replace("5.0", "50.0"),
    "no capacity": lambda text: text.replace("10000000", "0").replace("10.0", "0"),
    "unknown phase": lambda text: text.replace('"ready"', '"dancing"'),
    "unknown state": lambda text: text.replace('"serving"', '"odd"').replace('"up"', '"odd"'),
    "unknown outcome": lambda text: text.replace('"done"', '"perhaps"'),
    "no unit": lambda text: text.replace("m@v1", "m"),
    "no slots": lambda text: text.replace(": 8", ": 0"),
    "nested deeply": lambda text: text[:-1] + ', "x": ' + "[" * 5000 + "]" * 5000 + "}",
    "huge": lambda text: text + " " * (8 << 20),
}


@pytest.fixture(params=sorted(APIS_BY_VENDOR))
def reporting_engine(request):
    """An engine of each vendor, its member entry, and a valid report as text."""
    profile = Profile(10_000_000, 8, 0.001, 1.0, 0.001, 64, 0.1)
    engine = Engine(profile, "", checks_fencing=False)
    api = APIS_BY_VENDOR[request.param](engine)
    server = HttpServer(api, "127.0.0.1", 0, ServerLimits(threads=2))
    server.start()
    url = f"http://127.0.0.1:{server.port}"
    member = EngineMember("e1", "a", False, url, request.param, 2, False, 5.0)
    yield engine, member, json.dumps(VALID_BY_VENDOR[request.param])
    server.stop()


@pytest.mark.parametrize("kind", INVALID_REPORTS)
def test_invalid_report_is_rejected(reporting_engine, kind):
    """A faulty engine answers polls with implausible values.

    Guards against orders computed from them: they do not fit, so callers get errors or
    the engine runs out of memory under a model.
    """
    engine, member, valid = reporting_engine
    engine.faults.nonsense_report = INVALID_REPORTS[kind](valid)
    assert engine.faults.nonsense_report != valid

    with pytest.raises(ReportInvalid):
        EngineControl(1.0).report(member)


def test_valid_report_is_returned(reporting_engine):
    engine, member, valid = reporting_engine
    engine.faults.nonsense_report = valid

    report = EngineControl(1.0).report(member)

    assert report.capacity_bytes == 10_000_000
    assert [(r.unit, r.size_bytes, r.ready) for r in report.residents] == [
        ("m@v1", 5_000_000, True)
    ]
