"""Header names and paths of the users' platform."""

REQUEST_ID = "X-Redwingscale-Request-Id"
DEADLINE_MS = "X-Redwingscale-Deadline-Ms"
EXPECTED_UPSTREAM = "X-Redwingscale-Expect-Instance"
MODEL = "X-Redwingscale-Model-Name"
TOKENS = "X-Redwingscale-Token-Usage"
PROMPT_PARTS = "X-Redwingscale-Prefix-Hash"
# The upstream's signature of its answer, which the caller verifies.
SIGNATURE = "X-Redwingscale-Response-Seal"
# The name of the process that answers, in its refusal of a request for another process and
# in answers about its health.
ANSWERING_UPSTREAM = "X-Redwingscale-Instance-Id"
NOT_RUN = "X-Redwingscale-Not-Executed"
PRIORITY = "X-Redwingscale-Request-Priority"
LAST_EVENT_ID = "Last-Event-Id"
# The id of the caller's request that brought the first event of the stream to go on with.
RESUMED_REQUEST = "Resumes"
# Requests a second that an upstream accepts from all instances together; absent without limit.
RATE_LIMIT = "Server-Limit"
# "1" in each answer of an upstream that is leaving and takes no new work.
LEAVING = "Server-Leaving"
# In each answer of a brittle upstream: how many requests it may reject in a second.
BRITTLE = "Server-Brittle"
# The name of the workspace, sent to upstreams; a value that a caller sends is dropped.
WORKSPACE = "X-Redwingscale-Tenant-Id"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Bearer"

READINESS_PATH = "/api/readyz"
HEALTH_PATH = "/healthz"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"

# Headers by which an instance controls an upstream; they are never forwarded from a caller.
CONTROL_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECTED_UPSTREAM,
        PRIORITY,
        WORKSPACE,
        "X-Redwingscale-Expect-Version",
        "X-Redwingscale-Hold-Request",
        "X-Redwingscale-Pin-Ms",
        "X-Redwingscale-Kv-Backup",
        "X-Redwingscale-Kv-From",
        "X-Redwingscale-Kv-Fetch",
        "Kv-From",
        "Kv-Fetch",
    )
)
