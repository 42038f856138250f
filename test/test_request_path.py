"""Tests the request path of entries with fixed targets, without a control group."""

import time

import pytest

from harness import get, post, wait_for
from parts import Engine, Proxy, Service, StaticEntry, load_adapters

ADAPTERS = [f"adapter-{number:05}@1" for number in range(4)]
LOAD = {"adapters": len(ADAPTERS), "requests_per_second": 60, "length_ms": 3000, "seed": 3, "stream_share": 0.7,
        "timeout_ms": 15000}


class RequestPath:
    """Two entries whose two engines and one service are behind a fault proxy."""

    def __init__(self, harness, **entry):
        self.harness = harness
        self.proxy = Proxy(harness)
        self.engines = [Engine(harness, f"e{number}", "a", []) for number in (1, 2)]
        self.service = Service(harness, "s1", "a", [], "billing")
        for target in [*self.engines, self.service]:
            target.through = self.proxy.add_pair(target.name, target.address)
        self.entries = [StaticEntry(harness, f"entry{number}", ADAPTERS, self.engines, [self.service], **entry)
                        for number in (1, 2)]
        for process in [self.proxy, *self.engines, self.service, *self.entries]:
            process.process.start()
        for engine in self.engines:
            load_adapters(engine, ADAPTERS)

    def start_load(self, **changes):
        return self.harness.start_load({**LOAD, "endpoints": [entry.address for entry in self.entries], **changes})

    def executions(self, target):
        return get(target.address, "/executions").json()


def finish_and_check(run, **expected):
    result = run.finish()
    assert result["exit_code"] == 0, f"{result}\n{run.bad_rows()}"
    for name, value in expected.items():
        assert result[name] == value, f"{name} of {result}\n{run.bad_rows()}"
    return result


@pytest.fixture
def path(harness):
    return RequestPath(harness)


def test_all_answers_are_right(path):
    """P1, P3: guards against responses of another adapter or request, and truncated or duplicated responses."""
    finish_and_check(path.start_load(), failed=0, refused=0)


def test_repeated_and_reordered_pieces_reach_the_caller_once_in_order(path):
    """P3: guards against relaying stream pieces that an engine repeats or reorders without restoring their order."""
    for engine in path.engines:
        post(engine.address, "/faults", {"repeat_pieces": 0.2, "reorder_pieces": 0.2})
    finish_and_check(path.start_load(stream_share=1), failed=0, refused=0)


def test_broken_streams_are_resumed(path):
    """P3: guards against a truncated response when the connection to an engine breaks in the middle of a stream."""
    post(path.engines[0].address, "/faults", {"break_next_streams": 10})
    finish_and_check(path.start_load(stream_share=1), failed=0, refused=0)


def test_stalled_streams_are_resumed(path):
    """P3: guards against a caller that waits forever because an engine stops sending in the middle of a stream."""
    post(path.engines[0].address, "/faults", {"stall_next_streams": 3})
    finish_and_check(path.start_load(stream_share=1), failed=0, refused=0)


def test_silent_connections_are_replaced(path):
    """P3: guards against keeping established connections that no longer carry data while new connections work."""
    run = path.start_load(length_ms=5000)
    time.sleep(1)
    path.proxy.set_faults(silence=True)
    time.sleep(2)
    path.proxy.set_faults(silence=True)
    finish_and_check(run, failed=0, refused=0)


def test_killed_engine_loses_no_repeatable_request(path):
    """P3: guards against responses that are lost or truncated without an error when their engine is killed.

    A stream that has sent tokens cannot continue on another engine: it ends with an error event, and the client resends
    the request.
    """
    run = path.start_load(max_attempts=3, resend_broken=True)
    time.sleep(1)
    path.engines[0].process.kill()
    result = finish_and_check(run, failed=0)
    assert set(result["errors_by_code"]) <= {"outcome_unknown"}, result
    assert result["errors_by_code"].get("outcome_unknown", 0) <= 8, result


def test_rolling_restart_cuts_no_request(path):
    """P7: guards against an entry that exits before the requests that it accepted are complete."""
    for engine in path.engines:
        post(engine.address, "/faults", {"slow_factor": 5})
    run = path.start_load(length_ms=6000, max_attempts=20)
    for entry in path.entries:
        time.sleep(1)
        assert entry.process.terminate() == 0
        entry.process.start()
    result = finish_and_check(run, failed=0, refused=0)
    # The shutdown may close idle connections, but not a connection with a request in flight.
    assert result["errors_by_code"].get("connection_broken", 0) == 0, result


def test_not_repeatable_call_runs_at_most_once(path):
    """P5: guards against running a not repeatable call again when the response of the first run is lost."""
    run = path.start_load(service_share=1, service="billing", not_repeatable_share=1, max_attempts=4,
                          resend_broken=True)
    for _ in range(4):
        time.sleep(0.5)
        path.proxy.set_faults(pair="s1", cut=True)
        time.sleep(0.1)
        path.proxy.set_faults(pair="s1", cut=False)
    run.finish()
    executions = path.executions(path.service)
    assert executions["repeated"] == 0, executions


def test_rejected_as_not_run_did_not_run(harness):
    """P4: guards against rejecting a request as not run although it was dispatched to an engine."""
    path = RequestPath(harness, max_running=4, max_queued=2)
    for engine in path.engines:
        post(engine.address, "/faults", {"slow_factor": 20})
    run = path.start_load(requests_per_second=100, length_ms=2000)
    result = run.finish()
    assert result["exit_code"] == 0 and result["refused"] > 0, result
    ran = set()
    for engine in path.engines:
        ran.update(path.executions(engine)["keys"])
    rows = [row.split(",") for row in run.csv_path.read_text().split()[1:]]
    refused = {row[0] for row in rows if row[4] == "refused"}
    assert refused and not refused & ran, sorted(refused & ran)


def test_crashing_request_does_not_take_both_engines_twice(path):
    """Guards against a request that crashes its engine and is dispatched until every engine has crashed."""
    for engine in path.engines:
        post(engine.address, "/faults", {"crash_marker": "poison"})
    body = {"model": ADAPTERS[0], "prompt": "poison pill", "max_tokens": 4}
    reply = post(path.entries[0].address, "/v1/completions", body, timeout=20)
    assert reply.status_code in (422, 502, 503), reply.text
    crashes = sum(len(engine.process.grep("event=crash")) for engine in path.engines)
    assert 1 <= crashes <= 2


def test_unknown_adapter_is_rejected_at_once(path):
    """P1: guards against serving another adapter or version when the requested one is not configured."""
    for model in ("adapter-00000@2", "unknown@1", "adapter-00000@"):
        reply = post(path.entries[0].address, "/v1/completions", {"model": model, "prompt": "x"}, timeout=5)
        assert reply.status_code == 404, f"{model}: {reply.status_code} {reply.text}"
        assert reply.json()["error"]["code"] == "unknown_adapter"


def test_priority_goes_first_under_overload(harness):
    """Guards against a queue that dispatches requests of low priority before those of high priority."""
    path = RequestPath(harness, max_running=8, max_queued=40)
    run = path.start_load(requests_per_second=150, length_ms=2000, high_share=0.2, low_share=0.6)
    result = run.finish()
    assert result["exit_code"] == 0, result
    ready = wait_for(lambda: get(path.entries[0].address, "/v1/models").status_code == 200, 5,
                     "the first entry does not answer /v1/models with 200")
    assert ready
