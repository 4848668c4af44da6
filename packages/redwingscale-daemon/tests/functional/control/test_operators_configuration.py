"""The operators' configuration calls, over HTTP to real instances."""

from redwingscale_standins.launcher.shape import GIGABYTE

CONFIGURATION = "/configuration"


def wait_in_force(client, version):
    def everywhere():
        in_force = client.operate("i1", "GET", "/configuration/in-force").document
        return in_force == {"i1": version, "i2": version}

    client.wait_for(everywhere, f"version {version} in force")


def test_apply_conflict_rollback_and_versions_in_force(small, small_text):
    """
    Two operators edit version 1 through different instances. The second receives
    the other's version with both differences. Version 1 is then restored as a new
    version, and the history has all three.
    """
    _, client = small
    assert client.apply("i1", small_text(share=1)).document["version"] == 1
    assert client.apply("i1", small_text(share=2), 1).document["version"] == 2

    lost = client.apply("i2", small_text(share=3), 1)

    assert lost.status == 409
    place = "$.callers.clerks.share"
    assert lost.document["version"] == 2
    assert lost.document["difference"] == [{"place": place, "before": 2, "after": 3}]
    assert lost.document["theirs"] == [{"place": place, "before": 1, "after": 2}]

    body = {"version": 1, "base_version": 2, "author": "operator"}
    assert client.operate("i2", "POST", "/configuration/rollback", body).document["version"] == 3
    wait_in_force(client, 3)
    assert client.operate("i1", "GET", CONFIGURATION).document["text"] == small_text(share=1)
    history = client.operate("i1", "GET", "/configuration/history").document
    assert [item["version"] for item in history] == [3, 2, 1]

    unknown = {"version": 9, "base_version": 3}
    assert client.operate("i1", "POST", "/configuration/rollback", unknown).status == 404


def test_apply_in_an_outage_changes_nothing_and_reports_that(small, small_text):
    deployment, client = small
    client.apply("i1", small_text(share=1))
    wait_in_force(client, 1)
    deployment.set_faults("platform", down=True)

    refused = client.apply("i1", small_text(share=2), 1)

    assert refused.status == 503
    assert refused.document["changed"] is False
    deployment.set_faults("platform", down=False)
    assert client.operate("i1", "GET", CONFIGURATION).document["version"] == 1
    assert client.apply("i1", small_text(share=2), 1).document["version"] == 2


def test_lost_reply_does_not_fail_the_apply(small, small_text):
    deployment, client = small
    deployment.set_faults("platform", lose_replies=1)

    assert client.apply("i1", small_text()).document["version"] == 1


def test_text_that_cannot_fit_memory_is_refused_with_the_sizes(small, small_text):
    """
    A text lists a model that fits no engine. If it were accepted, requests for the
    model would fail without a visible reason.
    """
    _, client = small
    client.wait_for(
        lambda: client.operate("i1", "GET", "/upstreams").document.get("e1", {}).get("digest"),
        "the engine has reported",
    )

    refused = client.apply("i1", small_text(size_bytes=500 * GIGABYTE))

    assert refused.status == 422
    memory = refused.document["memory"]
    assert memory["needed_bytes"] == 500 * GIGABYTE
    assert memory["available_bytes"] == 144 * GIGABYTE
    assert refused.document["findings"][0]["place"] == "$.models"
    assert client.operate("i1", "GET", CONFIGURATION).document["version"] == 0


def test_memory_not_yet_reported_gives_a_warning(make_deployment, small_shape, small_text):
    from redwingscale_standins.launcher.client import Client

    shape = small_shape._replace(instances_by_id={"i1": "a"}, engines=())
    deployment = make_deployment(shape)
    deployment.list_member(
        {
            "id": "e9",
            "kind": "engine",
            "failure_domain": "b",
            "state": "live",
            "url": "http://127.0.0.1:1",
            "vendor": "alder",
            "accelerators": 1,
            "checks_fencing": True,
            "late_order_seconds": 1.0,
        }
    )
    client = Client(deployment)
    client.wait_for(
        lambda: "e9" in client.operate("i1", "GET", "/upstreams").document, "the engine is listed"
    )

    accepted = client.apply("i1", small_text())

    assert accepted.document["version"] == 1
    assert "e9" in accepted.document["warnings"][0]


def test_instance_restarted_in_an_outage_serves_again(small, small_shape, small_text):
    """
    The platform is down when an instance is replaced. The new instance receives
    configuration and upstreams from its peer and becomes ready without the platform.
    """
    deployment, client = small
    client.apply("i1", small_text())
    wait_in_force(client, 1)
    deployment.set_faults("platform", down=True)
    deployment.members_by_id["i2"].process.kill()

    deployment.start_instance("i2", "a")

    client.wait_for(
        lambda: client.operate("i2", "GET", "/status").document["configuration_version"] == 1,
        "the new instance has version 1",
    )
    assert client.operate("i2", "GET", "/status").document["ready"]
