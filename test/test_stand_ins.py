"""Tests the stand-ins and the load generator without the system: a checker that misses faults proves nothing."""

import time

import pytest

from harness import get, post, wait_for
from parts import Engine, Proxy, Store

LOAD = {"adapters": 8, "requests_per_second": 100, "length_ms": 1500, "seed": 7}


@pytest.fixture
def engine(harness):
    store = Store(harness, load_ms=20, loads_per_second=100)
    store.process.start()
    engine = Engine(harness, "e1", "a", [], store, adapter_slots=16, max_batch=16)
    engine.process.start()
    engine.store = store
    return engine


def run_load(harness, address, **changes):
    load = harness.start_load({**LOAD, "direct": [address], **changes}, arguments=["--direct"])
    return load.finish()


def test_sound_engine_gives_only_right_answers(harness, engine):
    """Guards against a load generator that reports failures although the engine works correctly."""
    result = run_load(harness, engine.address)
    assert result["exit_code"] == 0 and result["ok"] == result["sent"] > 100
    assert get(engine.store.address, "/stats").json()["loads"] == 8


@pytest.mark.parametrize("fault,outcome", [({"repeat_pieces": 0.05}, "doubled"), ({"reorder_pieces": 0.05}, "cut"),
                                           ({"break_next_streams": 5}, "lost")])
def test_checker_finds_faulty_streams(harness, engine, fault, outcome):
    """Guards against a load generator that accepts duplicated, reordered or broken streams."""
    assert post(engine.address, "/faults", fault).status_code == 200
    result = run_load(harness, engine.address, stream_share=1)
    assert result["exit_code"] == 1 and result[outcome] > 0


def test_stream_resumes_at_its_offset(harness, engine):
    """Guards against an engine stand-in whose resumed stream differs from the original one after the offset."""
    post(engine.address, "/v1/load_lora_adapter", {"lora_name": "x@1"})
    whole = post(engine.address, "/v1/completions",
                 {"model": "x@1", "prompt": "p", "max_tokens": 9, "stream": True, "request_id": "r1"}).text
    rest = post(engine.address, "/v1/resume", {"request_id": "r1", "offset": 4}).text
    tokens = [line for line in whole.splitlines() if '"text"' in line]
    assert [line.split('"text":')[1] for line in tokens[4:]] == [
        line.split('"text":')[1] for line in rest.splitlines() if '"text"' in line]
    assert post(engine.address, "/v1/resume", {"request_id": "unknown", "offset": 0}).status_code == 404


def test_stale_fencing_number_is_refused(harness, engine):
    """Guards against an engine stand-in that accepts orders with the fencing number of a former coordinator."""
    order = {"lora_name": "x@1"}
    assert post(engine.address, "/v1/load_lora_adapter", order, x_fencing_number="7").status_code == 200
    assert post(engine.address, "/v1/unload_lora_adapter", order, x_fencing_number="6").status_code == 409
    assert get(engine.address, "/v1/state").json()["stale_orders"] == 1


def test_silenced_connections_stay_open_without_an_answer(harness, engine):
    """Guards against a silent-connection fault that closes connections or silences new ones."""
    import requests
    with requests.Session() as session:
        assert session.get(f"http://{engine.address}/v1/state", timeout=2).status_code == 200
        assert post(engine.address, "/faults", {"silence_open_connections": True}).status_code == 200
        with pytest.raises(requests.exceptions.ReadTimeout):
            session.get(f"http://{engine.address}/v1/state", timeout=0.5)
    assert get(engine.address, "/v1/state", timeout=2).status_code == 200


def test_crash_marker_ends_the_engine(harness, engine):
    """Guards against a crash fault that does not crash the engine, or crashes it before a marked request ran."""
    post(engine.address, "/v1/load_lora_adapter", {"lora_name": "x@1"})
    post(engine.address, "/faults", {"crash_marker": "poison"})
    assert post(engine.address, "/v1/completions", {"model": "x@1", "prompt": "fine"}).status_code == 200
    with pytest.raises(Exception):
        post(engine.address, "/v1/completions", {"model": "x@1", "prompt": "poison"})
    assert engine.process.popen.wait(5) == 70


def test_store_counts_loads_over_its_limits(harness):
    """Guards against a store stand-in that does not count loads beyond its limits."""
    store = Store(harness, loads_per_second=2, concurrent_loads=1, load_ms=50)
    store.process.start()
    for number in range(4):
        get(store.address, f"/adapters/x{number}@1")
    stats = get(store.address, "/stats").json()
    assert stats["rate_violations"] > 0 and stats["concurrency_violations"] == 0 and stats["loads"] == 4


def test_proxy_holds_one_direction_and_lets_bytes_go_on(harness, engine):
    """Guards against a partition fault that drops bytes instead of delivering them later, as TCP would."""
    proxy = Proxy(harness)
    address = proxy.add_pair("p", engine.address, "zone-a")
    proxy.process.start()
    assert get(address, "/v1/state").status_code == 200
    proxy.set_faults(group="zone-a", hold="to_caller")
    with pytest.raises(Exception):
        get(address, "/v1/state", timeout=0.4)
    proxy.set_faults(group="zone-a", hold="none")
    assert get(address, "/v1/state").status_code == 200
    proxy.set_faults(pair="p", cut=True)
    with pytest.raises(Exception):
        get(address, "/v1/state", timeout=0.4)
    proxy.set_faults(reset=True, delay_ms=50)
    start_time = time.monotonic()
    assert get(address, "/v1/state").status_code == 200
    assert time.monotonic() - start_time >= 0.1


def test_proxy_silences_established_connections_only(harness, engine):
    """Guards against a silence fault that also affects new connections."""
    import requests
    proxy = Proxy(harness)
    address = proxy.add_pair("p", engine.address)
    proxy.process.start()
    with requests.Session() as session:
        assert session.get(f"http://{address}/v1/state", timeout=2).status_code == 200
        proxy.set_faults(silence=True)
        with pytest.raises(requests.exceptions.ReadTimeout):
            session.get(f"http://{address}/v1/state", timeout=0.5)
        proxy.set_faults(reset=True)
        assert get(address, "/v1/state", timeout=2).status_code == 200


def test_batch_fills_by_priority(harness, engine):
    """Guards against an engine stand-in that ignores priorities or reports a batch efficiency out of range."""
    result = run_load(harness, engine.address, requests_per_second=400, high_share=0.3)
    assert result["exit_code"] == 0
    state = wait_for(lambda: get(engine.address, "/v1/state").json(), 5, "state")
    assert 0 < state["batch_efficiency"] <= 1 and state["unloads_in_use"] == 0
