"""Instances whose link to the store is thin, in a series of versions of the configuration."""

import re
import signal

import pytest
from redwingscale_standins.hosted.documents import document, stream_route
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.link_rate import LinkRate

LINK_MBPS = 5.0
ROUTES = 100
LAST_OF_SERIES = 31


def long_document(version):
    made = document(version)
    routes = [stream_route(f"r{number}", f"/r{number}/") for number in range(ROUTES)]
    return made | {"Routes": made["Routes"] + routes}


@pytest.fixture
def thin_link(deployment):
    made = FaultyLink(deployment.store_port, rate_from=LinkRate(LINK_MBPS))
    yield made
    made.close()


def in_force(instance, version):
    return f"event=configuration_in_force instance={instance.name} version={version} ".encode() in (
        instance.log.read_bytes()
    )


def test_instance_reads_one_version_once_the_leader_falls_silent(deployment, thin_link):
    """Guards against a read of all versions of a series, which a thin link carries too late."""
    deployment.rows.put("op", "config", long_document(1))
    deployment.worker("w1", "m1")
    leader = deployment.instance("one")
    until(lambda: deployment.leader() == "one", "the leader")
    instance = deployment.instance("two", store_port=thin_link.port)
    for version in range(2, LAST_OF_SERIES + 1):
        deployment.rows.put("op", "config", long_document(version))
        until(lambda version=version: in_force(instance, version), f"version {version}")
    leader.end(signal.SIGKILL)
    deployment.rows.put("op", "config", long_document(LAST_OF_SERIES + 1))
    until(lambda: in_force(instance, LAST_OF_SERIES + 1), "the version after the series")
    log = instance.log.read_bytes()
    assert b"event=configuration_read_failed" not in log
    assert set(re.findall(rb"event=configuration_read instance=two rows=(\d+)", log)) == {b"1"}
