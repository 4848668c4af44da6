"""Collecting the log lines of a request by its id."""

import pytest
from redwingscale_cli._internal.exceptions import ClientError
from redwingscale_cli._internal.models.log_line import parse_line
from redwingscale_cli._internal.operations.trace import render, trace

# The second instance's clock is five seconds ahead of the first one's.
FIRST = """\
time=2026-12-02T10:00:00.100+0000 level=INFO event=routed instance=a-1 request=r1 route=live service=llm configuration=4 unit=m7
time=2026-12-02T10:00:00.101+0000 level=INFO event=waits_for_holder instance=a-1 request=r1 unit=m7 left=3.999 giver_heard=True
time=2026-12-02T10:00:00.300+0000 level=INFO event=routed instance=a-1 request=r2 route=live service=llm configuration=4 unit=m1
not an event
time=2026-12-02T10:00:00.702+0000 level=INFO event=request_ended instance=a-1 request=r1 route=live status=503 outcome=no_holder run=not_run detail="m7 is ready in 5.8 s, 3.148 s are left; " sendings=0 history="" seconds=0.602
"""
SECOND = """\
time=2026-12-02T10:00:05.104+0000 level=INFO event=swap_planned instance=b-1 upstream=u3 model=m7 evicted=m2 cold=True seconds=5.8 waiting=1 patience=3.7
time=2026-12-02T10:00:05.230+0000 level=INFO event=order_sent instance=b-1 upstream=u3 order=Unload unit=m2 after=0 fence=1 result=accepted
time=2026-12-02T10:00:11.400+0000 level=INFO event=model_loaded instance=b-1 upstream=u3 model=m7
"""


@pytest.fixture
def logs(tmp_path):
    files = [tmp_path / "a-1.log", tmp_path / "b-1.log"]
    for file, text in zip(files, (FIRST, SECOND), strict=True):
        file.write_text(text)
    return files


def test_trace_of_a_refused_request(logs, snapshot):
    assert "\n".join(render(trace("r1", logs))) == snapshot


def test_request_without_an_end(logs):
    assert trace("r2", logs).end() is None
    assert list(render(trace("r2", logs)))[-1] == "not ended in these logs"


def test_request_that_was_passed_on_ends_at_the_instance_of_its_caller(tmp_path):
    texts = {
        "b": "event=routed instance=b request=r passed_on_by=a\nevent=request_ended instance=b request=r status=200",
        "a": "event=routed instance=a request=r passed_on_by=-\nevent=request_ended instance=a request=r status=502",
    }
    files = [tmp_path / f"{name}.log" for name in texts]
    for file, text in zip(files, texts.values(), strict=True):
        file.write_text(text.replace("event=", "time=2026-12-02T10:00:00.100+0000 event="))
    assert trace("r", files).end().fields["status"] == "502"
    assert trace("r", files[::-1]).end().fields["status"] == "502"


def test_trace_names_the_other_tries_of_a_stream(tmp_path):
    texts = {
        "a": "event=routed instance=a request=r1 resumes=-\nevent=caller_left instance=a request=r1",
        "b": "event=routed instance=b request=r2 resumes=r1\nevent=request_ended instance=b request=r2 status=503",
        "c": "event=routed instance=c request=r3 resumes=r1\nevent=request_ended instance=c request=r3 status=200",
    }
    files = [tmp_path / name for name in texts]
    for file, text in zip(files, texts.values(), strict=True):
        file.write_text(text.replace("event=", "time=2026-12-02T10:00:00.100+0000 event="))
    for request in ("r1", "r2", "r3"):
        tries = {line.fields["request"] for line in trace(request, files).tries}
        assert tries == {"r1", "r2", "r3"} - {request}
    assert "request=r3" in "\n".join(render(trace("r1", files)))


def test_unknown_request_is_an_error(logs):
    with pytest.raises(ClientError, match="r9"):
        trace("r9", logs)


def test_error_names_the_missing_file(tmp_path):
    with pytest.raises(ClientError, match="gone.log"):
        trace("r1", [tmp_path / "gone.log"])


@pytest.mark.parametrize("text", ["", "no event", "time=yesterday event=x", "time="])
def test_text_that_is_not_an_event_is_skipped(text):
    assert parse_line(text, "f:1") is None


def test_quoted_values_are_read():
    line = parse_line('time=2026-12-02T10:00:00.100+0000 event=x detail="a b=c" n=1', "f:1")
    assert (line.fields["detail"], line.fields["n"]) == ('"a b=c"', "1")
