"""Tests the control group: confirmed changes survive crashes, partitions and the loss of a disk."""

import shutil
import threading
import time

import requests

from cluster import Cluster, adapter_list, plan_id, role_of
from harness import get, post, wait_for


def make_cluster(harness, **settings):
    return Cluster(harness, {"a": 1}, engines=0, **settings)


def revisions(cluster, among=None):
    return [get(control.address, "/v1/status?local", 2).json()["revision"] for control in among or cluster.controls]


def wait_until_converged(cluster, revision, among=None, timeout=5):
    wait_for(lambda: all(one == revision for one in revisions(cluster, among)), timeout,
             f"revision {revision} has not reached every control host")


def test_confirmed_change_survives_a_killed_leader(harness):
    """P8: guards against the loss of a confirmed change when the leader that accepted it is killed."""
    cluster = make_cluster(harness).start_control()
    for round_number in range(3):
        revision = cluster.configure_adapters(10 + round_number)
        leader = cluster.wait_for_leader()
        leader.process.kill()
        remaining = [control for control in cluster.controls if control is not leader]
        start_time = time.monotonic()
        assert cluster.command("/v1/intents", {"name": "probe", "service": "s", "adapters": adapter_list(1, "p")},
                               among=remaining).status_code == 200
        assert time.monotonic() - start_time < 4
        # The new leader has the change at once. The other host has it in its log, and applies it when it hears of the
        # commit with the next heartbeat.
        assert max(revisions(cluster, remaining)) >= revision
        wait_for(lambda: min(revisions(cluster, remaining)) >= revision, 1,
                 f"revision {revision} has not reached both remaining control hosts")
        leader.process.start()
        wait_until_converged(cluster, revisions(cluster, remaining)[0])


def test_resent_command_has_no_second_effect(harness):
    """P8: guards against applying a command twice when the caller resends it because the response was lost."""
    cluster = make_cluster(harness).start_control()
    plan = cluster.command("/v1/intents", {"name": "one", "service": "s", "adapters": adapter_list(3)}).json()
    path = f"/v1/plans/{plan_id(plan)}/confirm"
    body = {"base_revision": plan["base_revision"]}
    first = cluster.command(path, body, command_id="same")
    cluster.configure_adapters(1, "later-")
    cluster.wait_for_leader().process.kill()
    again = cluster.command(path, body, command_id="same")
    assert (again.status_code, again.json()) == (first.status_code, first.json())
    status = wait_for(lambda: next((s for s in map(cluster.status, cluster.controls) if s and s["current"]), None), 5,
                      "no current status")
    assert status["adapters"] == 4 and status["intents"] == 2, status


def test_racing_operators_one_wins(harness):
    """P8: guards against confirming two plans that have the same base revision."""
    cluster = make_cluster(harness).start_control()
    plans = [cluster.command("/v1/intents", {"name": f"race-{number}", "service": "s",
                                             "adapters": adapter_list(2, f"r{number}-")}).json() for number in range(6)]
    replies = [None] * len(plans)

    def confirm(number):
        replies[number] = cluster.command(f"/v1/plans/{plan_id(plans[number])}/confirm",
                                          {"base_revision": plans[number]["base_revision"]})
    threads = [threading.Thread(target=confirm, args=(number,)) for number in range(len(plans))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    codes = sorted(reply.status_code for reply in replies)
    assert codes == [200] + [409] * (len(plans) - 1), [reply.text[:200] for reply in replies]
    loser = next(reply for reply in replies if reply.status_code == 409)
    assert "revision" in loser.text, loser.text
    assert get(cluster.wait_for_leader().address, "/v1/status").json()["adapters"] == 2


def test_equal_command_ids_with_other_content_are_told_apart(harness):
    """P8: guards against returning the recorded response of a command for another command with the same id."""
    cluster = make_cluster(harness).start_control()
    first = cluster.command("/v1/intents", {"name": "one", "service": "s", "adapters": adapter_list(1)}, command_id="1")
    other = cluster.command("/v1/intents", {"name": "two", "service": "s", "adapters": adapter_list(2)}, command_id="1")
    assert first.status_code == 200
    assert other.status_code == 409, other.text


def test_isolated_leader_stops_deciding_and_never_reverts(harness):
    """P8: guards against an isolated leader that serves a stale configuration or accepts changes without a majority."""
    cluster = make_cluster(harness, proxied=True)
    cluster.proxy.process.start()
    cluster.start_control()
    cluster.configure_adapters(1)
    old_leader = cluster.wait_for_leader()
    cluster.proxy.set_faults(group=old_leader.name, hold="both")
    remaining = [control for control in cluster.controls if control is not old_leader]
    cluster.wait_for_leader(among=remaining)
    plan = cluster.command("/v1/intents", {"name": "new", "service": "s", "adapters": adapter_list(5, "n")},
                           among=remaining)
    confirmed = cluster.command(f"/v1/plans/{plan_id(plan.json())}/confirm",
                                {"base_revision": plan.json()["base_revision"]}, among=remaining)
    assert confirmed.status_code == 200
    revision = confirmed.json()["revision"]
    refused = post(old_leader.address, "/v1/intents",
                   {"command_id": "alone", "name": "alone", "service": "s", "adapters": adapter_list(1, "x")}, 10,
                   **{"connection": "close"})
    assert refused.status_code in (307, 503, 504), refused.text
    stale = requests.get(f"http://{old_leader.address}/v1/intents", timeout=10, allow_redirects=False)
    assert stale.status_code in (307, 503), stale.text
    cluster.proxy.set_faults(group=old_leader.name, reset=True)
    wait_until_converged(cluster, revision, timeout=10)
    time.sleep(1)
    assert set(revisions(cluster)) == {revision}


def test_without_majority_nothing_is_accepted(harness):
    """P8: guards against a host that accepts changes without a majority, and an error that does not say so."""
    cluster = make_cluster(harness).start_control()
    cluster.configure_adapters(1)
    leader = cluster.wait_for_leader()
    for control in cluster.controls:
        if control is not leader:
            control.process.kill()
    time.sleep(1)
    reply = post(leader.address, "/v1/intents",
                 {"command_id": "m", "name": "m", "service": "s", "adapters": adapter_list(1, "m")}, 10)
    assert reply.status_code in (503, 504) and "majority" in reply.text or reply.status_code == 504, reply.text
    for control in cluster.controls:
        if control is not leader:
            control.process.start()
    assert cluster.configure_adapters(2) >= 2


def test_group_restarts_after_hundreds_of_changes(harness):
    """P8: guards against a log that cannot be replayed after a restart, and a restart from an outdated snapshot."""
    cluster = make_cluster(harness).start_control()
    for number in range(150):
        revision = cluster.configure_adapters(1 + number % 7)
    for control in cluster.controls:
        control.process.kill()
    cluster.start_control()
    wait_until_converged(cluster, revision)
    assert cluster.configure_adapters(9) == revision + 1


def test_host_with_an_emptied_disk_comes_back_and_a_second_loss_is_survived(harness):
    """P8: guards against a host that lost its recorded votes and votes again, or is a voter before it caught up."""
    cluster = make_cluster(harness).start_control()
    revision = cluster.configure_adapters(5)
    emptied = next(control for control in cluster.controls if control is not cluster.wait_for_leader())
    emptied.process.kill()
    shutil.rmtree(emptied.folder)
    emptied.process.start()
    identity = get(emptied.address, "/v1/status?local").json()["self"]

    def repaired():
        status = cluster.status(cluster.wait_for_leader()) or {"replicas": []}
        members = {replica["id"]: replica["voter"] for replica in status["replicas"]}
        return members.get(identity) and len(members) == 3 and status["losses_tolerated"] == 1
    wait_for(repaired, 15, "the host with the emptied disk has not become a voter again")
    lost = next(control for control in cluster.controls if control is not emptied)
    lost.process.kill()
    remaining = [control for control in cluster.controls if control is not lost]
    cluster.wait_for_leader(among=remaining)
    plan = cluster.command("/v1/intents", {"name": "n", "service": "s", "adapters": adapter_list(1, "n")},
                           among=remaining)
    assert plan.status_code == 200 and plan.json()["base_revision"] == revision
    wait_until_converged(cluster, revision, remaining)


def test_frozen_leader_comes_back_as_a_follower(harness):
    """P8: guards against a leader that was suspended while another was elected and still acts as leader on resuming."""
    cluster = make_cluster(harness).start_control()
    cluster.configure_adapters(1)
    old_leader = cluster.wait_for_leader()
    old_leader.process.freeze()
    remaining = [control for control in cluster.controls if control is not old_leader]
    cluster.wait_for_leader(among=remaining)
    plan = cluster.command("/v1/intents", {"name": "n", "service": "s", "adapters": adapter_list(4, "n")},
                           among=remaining)
    revision = cluster.command(f"/v1/plans/{plan_id(plan.json())}/confirm",
                               {"base_revision": plan.json()["base_revision"]}, among=remaining).json()["revision"]
    old_leader.process.thaw()
    reply = requests.get(f"http://{old_leader.address}/v1/intents", timeout=5)
    assert reply.status_code == 503 or len(reply.json()["intents"]) == 2, reply.text
    wait_until_converged(cluster, revision)
    assert role_of(get(old_leader.address, "/v1/status?local").json()) == "follower"


def test_terminated_leader_hands_over(harness):
    """P7, P8: guards against a leader that shuts down without a leadership transfer: an election timeout would pass."""
    cluster = make_cluster(harness).start_control()
    cluster.configure_adapters(1)
    old_leader = cluster.wait_for_leader()
    assert old_leader.process.terminate() == 0
    start_time = time.monotonic()
    remaining = [control for control in cluster.controls if control is not old_leader]
    cluster.wait_for_leader(among=remaining)
    assert time.monotonic() - start_time < 0.3
