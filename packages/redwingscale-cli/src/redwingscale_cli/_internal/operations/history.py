"""Access to earlier versions of the configuration text."""

from redwingscale_cli._internal.exceptions import UsageError
from redwingscale_cli._internal.network.operators_client import OperatorsClient


def fetch_text(client: OperatorsClient, version: int) -> str:
    """Return the text of ``version``; raise `UsageError` if there is no such version."""
    history = client.get("/configuration/history")
    digests = {item["version"]: item["digest"] for item in history}
    if version not in digests:
        raise UsageError(
            f"there is no version {version}",
            hint="list the versions with: redwingscale config history",
        )
    text: str = client.get(f"/configuration/texts/{digests[version]}")["text"]
    return text
