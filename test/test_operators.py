"""Tests operator requests to a control group of real processes: confirmations, resent commands, failed hosts."""

import concurrent.futures
import json
import signal
import time

import pytest
import requests

from control_hosts import ControlGroup
from harness import wait_for


@pytest.fixture
def group(harness):
    control = ControlGroup(harness, ["a", "b"])
    control.start()
    control.wait_for_leader()
    return control


def test_one_of_many_racing_confirmations_wins_and_the_losers_see_what_is_in_effect(group):
    leader = group.wait_for_leader()
    plans = [group.post(leader, "/v1/intents", group.intent_command(f"rival-{number}")).json() for number in range(12)]
    assert len({plan["base_revision"] for plan in plans}) == 1

    def confirm(pair):
        number, plan = pair
        # Every host accepts a confirmation: followers redirect it to the leader.
        host = group.hosts[number % len(group.hosts)]
        return group.post(host, f"/v1/plans/{plan['plan']}/confirm",
                          {"command_id": f"confirm-{number}", "base_revision": plan["base_revision"]})

    with concurrent.futures.ThreadPoolExecutor(len(plans)) as pool:
        replies = list(pool.map(confirm, enumerate(plans)))
    won = [reply for reply in replies if reply.status_code == 200]
    lost = [reply for reply in replies if reply.status_code == 409]
    assert len(won) == 1 and len(lost) == len(plans) - 1
    for reply in lost:
        assert reply.json()["in_effect"] == {"revision": won[0].json()["revision"],
                                             "last_confirmed_plan": won[0].json()["plan"]}


def test_a_command_resent_after_the_leader_was_killed_and_all_were_restarted_gets_its_first_answer(group):
    leader = group.wait_for_leader()
    intent = group.intent_command("rules")
    plan = group.post(leader, "/v1/intents", intent).json()
    confirm = {"command_id": "confirm-rules", "base_revision": plan["base_revision"]}
    first = group.post(leader, f"/v1/plans/{plan['plan']}/confirm", confirm).json()
    group.configure("other")

    leader.kill()
    successor = group.wait_for_leader()
    assert group.post(successor, f"/v1/plans/{plan['plan']}/confirm", confirm).json() == first
    assert group.post(successor, "/v1/intents", intent).json() == plan

    for host in group.hosts:
        host.kill()
    group.start()
    successor = group.wait_for_leader()
    assert group.post(successor, f"/v1/plans/{plan['plan']}/confirm", confirm).json() == first
    assert group.post(successor, "/v1/intents", intent).json() == plan
    assert group.status(successor)["revision"] == 2


def test_without_a_majority_nothing_is_accepted_and_the_error_says_so(group):
    group.configure("rules")
    leader = group.wait_for_leader()
    followers = [host for host in group.hosts if host is not leader]
    for host in followers:
        host.kill()
    wait_for(lambda: group.find_leader() is None, 10, "the leader still answers /v1/intents without a majority")
    reply = group.post(leader, "/v1/intents", group.intent_command("late"), timeout=10)
    assert reply.status_code == 503
    assert "not accepted" in reply.json()["error"]["message"]
    code, _, error = group.run_ctl("--timeout-ms", "1500", "plan", "confirm", "plan-1", "--base-revision", "0")
    assert code == 3 and "majority" in error
    status = group.status(leader)
    assert status["current"] is False and status["revision"] == 1
    assert status["losses_tolerated"] < 0
    followers[0].start()
    group.wait_for_leader()
    assert group.configure("late") == 2


def test_a_stopped_leader_hands_over_and_ends_with_code_0(group):
    leader = group.wait_for_leader()
    start_time = time.monotonic()
    leader.send_signal(signal.SIGTERM)
    group.wait_for_leader(timeout=5)
    assert leader.popen.wait(10) == 0
    assert time.monotonic() - start_time < 5
    assert leader.grep("event=leadership_transfer done=yes")
    assert group.configure("rules") == 1


def test_a_frozen_leader_does_not_hold_up_operators_and_cannot_undo_what_they_did(group):
    leader = group.wait_for_leader()
    group.configure("rules", "1")
    leader.freeze()
    start_time = time.monotonic()
    assert group.configure("rules", "2") == 2
    assert time.monotonic() - start_time < 10
    leader.thaw()
    wait_for(lambda: group.status(leader)["revision"] == 2, 10, "the old leader has not reached revision 2")
    reply = requests.get(group.url(leader, "/v1/intents"), timeout=2, allow_redirects=False)
    assert reply.status_code == 307, "the old leader does not redirect to the new one"


def test_status_and_wrong_settings(group, harness):
    code, out, _ = group.run_ctl("--json", "status")
    assert code == 0
    status = json.loads(out)
    assert status["losses_tolerated"] == 1 and len(status["replicas"]) == 3
    assert [zone["zone"] for zone in status["store"]["permits"]] == ["a", "b"]
    bad = harness.add_process("tamarackcove-control", {**group.hosts[0].settings, "lissten": "x"}, "bad")
    bad.start(wait=False)
    assert bad.popen.wait(10) == 2
    wait_for(lambda: bad.lines, 5, "no error line in the log")
    assert len(bad.lines) == 1 and "lissten" in bad.lines[0]
