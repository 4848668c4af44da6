"""When scheduling features are on."""

import pytest
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.settings.scheduling import Mode, is_on


def engine_with(cold_seconds):
    model = ModelRule("m", 65.0, 1.0, 0, cold_seconds, 1.2, 0.5)
    return EngineRule(64, 1000, 200.0, 5, 2.1, {"m": model})


@pytest.mark.parametrize(
    ("mode", "cold_seconds", "expected"),
    [
        (Mode.AUTO, 8.6, True),
        (Mode.AUTO, 6.4, False),
        (Mode.ON, 6.4, True),
        (Mode.OFF, 8.6, False),
    ],
)
def test_mode_decides_and_auto_depends_on_the_longest_load(mode, cold_seconds, expected):
    assert is_on(mode, engine_with(cold_seconds)) is expected


def test_no_feature_is_on_for_a_plain_service():
    assert not any(is_on(mode, None) for mode in Mode)
