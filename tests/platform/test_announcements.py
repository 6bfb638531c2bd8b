"""Announcements of other writers: they name no member to use and change no known one."""

import asyncio
import json
import unittest
from types import SimpleNamespace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.commands import RaiseFeatureLevel
from rowanrail.coordination.feature_level import LIVES_LEVEL
from rowanrail.coordination.member_limits import MAX_MEMBERS, MAX_UNCONFIGURED_MEMBERS
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.http import HttpRequest
from tests.support import platform_path  # noqa: F401 - it is imported for its effect
from tests.support.gateway import RecordingLog

from rowanrail_platform.control_api import ControlApi  # isort: skip

BORN = 1_700_000_000_000
HEARTBEAT = {
    "service": "db",
    "addr": "10.0.0.9:8080",
    "zone": "a1",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "cold-ms": 0,
    "db-role": "replica",
    "call-seq": 4,
    "born": BORN,
}
INVALID_FIELDS = {
    "service": [None, 7, "", "d b", "d\n", "d" * 300, ["db"], "dé"],
    "addr": [None, 7, "", "host:80", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:99999", "10.0.0.9:x"],
    "zone": [None, 7, "", "elsewhere", {"a": 1}],
    "version": [None, 7, ["v1"]],
    "slots": [None, "5", 0, -1, 1.5, 10**9, 10**30, True],
    "state": [None, 7, "", "resting", "READY", "Draining"],
    "cold-ms": [None, "0", 1e300, 10**30, [0]],
    "db-role": [None, 7, "", "leader"],
    "call-seq": [None, "4", -1, 4.5, 2**63, 10**30],
    "born": [None, str(BORN), 0, -1, 1.5, 2**63, 10**30, True],
}
REQUIRED = ["service", "addr", "zone", "slots", "state", "db-role", "call-seq"]
UNREADABLE = [
    b"",
    b"null",
    b"[]",
    b'"ready"',
    b"{}",
    b'{"service": "db"',
    b"\xff\xfe\x00",
    b"{" * 4000,
    b'{"x": ' + b"[" * 2000 + b"]" * 2000 + b"}",
    json.dumps(HEARTBEAT).encode().replace(b'"db"', b'"\xe9"'),
    json.dumps(HEARTBEAT).encode().replace(b'"db"', b'"\\ud800"'),
]


class LeadingNode:
    class raft:
        is_leader = True

    def __init__(self, state):
        self.state, self.index = state, 1

    async def propose(self, data):
        self.index += 1
        return self.state.apply(Entry(1, self.index, EntryKind.COMMAND, data))


class Node:
    """A control node that leads, without a network, on a manual clock."""

    def __init__(self, services=("db", "other")):
        self.time = 100.0
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        level = msgspec.msgpack.encode(RaiseFeatureLevel(LIVES_LEVEL))
        self.state.apply(Entry(1, 1, EntryKind.COMMAND, level))
        node = self

        class TimedService(CoordinationService):
            def now(self):
                return node.time

        self.log = RecordingLog("control", wall_clock=lambda: self.time)
        self.service = TimedService(LeadingNode(self.state), self.state, None, decisions=self.log)
        self.service.configured_services = lambda: services
        listen = SimpleNamespace(listen="10.0.0.1:80", regions={"a1": "a", "b1": "b"})
        self.api = ControlApi(self.service, listen, self.log)

    def call(self, method, instance, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = HttpRequest(method, f"/instances/{instance}", data)
        return asyncio.run(self.api.handle(request)).status

    def put(self, instance="m1", body=None, **changes):
        return self.call("PUT", instance, HEARTBEAT | changes if body is None else body)

    def events(self, number):
        self.log.flush()
        lines = [json.loads(line) for line in self.log.written.splitlines()]
        return [line for line in lines if line["event"] == number]


class OtherWritersTest(unittest.TestCase):
    def setUp(self):
        self.node = Node()
        self.assertEqual(self.node.put(), 200)
        self.known = self.node.state.snapshot()

    def check_rejected(self, status, what):
        self.assertIn(status, (400, 409, 413), what)
        self.assertEqual(self.node.state.snapshot(), self.known, what)

    def test_a_field_of_another_type_or_out_of_range(self):
        for name, values in INVALID_FIELDS.items():
            for value in values:
                for instance in ("m1", "m2"):
                    status = self.node.put(instance, **{name: value, "call-seq": 5} | {name: value})
                    self.check_rejected(status, (name, value))

    def test_a_missing_field(self):
        for name in REQUIRED:
            body = {key: value for key, value in HEARTBEAT.items() if key != name}
            self.check_rejected(self.node.put(body=body), name)

    def test_a_body_that_cannot_be_read(self):
        for body in UNREADABLE:
            self.check_rejected(self.node.call("PUT", "m1", body), body[:40])
            if body not in (b"", b"{}"):
                self.check_rejected(self.node.call("DELETE", "m1", body), body[:40])

    def test_a_body_that_is_too_large(self):
        self.assertEqual(self.node.put(version="v" * 5000), 413)
        self.assertEqual(self.node.call("DELETE", "m1", b" " * 5000), 413)
        self.assertEqual(self.node.state.snapshot(), self.known)

    def test_a_removal_with_a_start_of_another_type(self):
        for born in INVALID_FIELDS["born"]:
            self.check_rejected(self.node.call("DELETE", "m1", {"born": born}), born)

    def test_an_id_that_no_line_of_the_protocol_can_carry(self):
        for instance in ("x" * 300, "a b", "a\x00"):
            for method in ("PUT", "DELETE"):
                self.check_rejected(self.node.call(method, instance, HEARTBEAT), instance)

    def test_no_start_where_the_member_tells_one(self):
        body = {key: value for key, value in HEARTBEAT.items() if key != "born"}
        for changes in ({"call-seq": 9}, {"state": "draining"}, {"addr": "10.0.0.7:1"}):
            self.check_rejected(self.node.put(body=body | changes), changes)

    def test_no_start_where_the_other_members_of_the_service_tell_theirs(self):
        body = {key: value for key, value in HEARTBEAT.items() if key != "born"}
        self.check_rejected(self.node.put("m2", body | {"addr": "10.0.0.7:1"}), "m2")
        other = body | {"service": "other", "addr": "10.0.0.7:1"}
        self.assertEqual(self.node.put("m3", other), 200, "an earlier version of members")
        self.assertEqual(self.node.put("m3", other | {"call-seq": 5}), 200)

    def test_a_field_is_missing_that_all_members_with_a_start_have(self):
        for name in ("version", "cold-ms"):
            body = {key: value for key, value in HEARTBEAT.items() if key != name}
            self.check_rejected(self.node.put("m2", body | {"addr": "10.0.0.7:1"}), name)

    def test_a_service_that_is_not_configured_for_a_known_member_or_its_address(self):
        made_up = {"service": "made-up", "call-seq": 9}
        self.check_rejected(self.node.put(**made_up), "known member")
        self.check_rejected(self.node.put(**made_up, born=BORN + 1), "later start")
        self.check_rejected(self.node.put("m2", **made_up), "address of a known member")

    def test_other_members_hold_and_valid_ones_are_added(self):
        self.node.put("m1", state="resting")
        self.assertEqual(self.node.put("m2", addr="10.0.0.10:8080"), 200)
        self.assertEqual(list(self.node.state.members), ["m1", "m2"])
        self.assertEqual(self.node.put(**{"call-seq": 5, "state": "draining"}), 200)
        self.assertTrue(self.node.state.members["m1"].leaving)

    def test_rejections_are_counted_and_logged_at_a_bounded_rate(self):
        for number in range(50):
            self.node.put(f"m{number}", state="resting")
            self.node.time += 0.1
        lines = self.node.events(470)
        self.assertLessEqual(len(lines), 6)
        self.assertEqual(lines[0]["reason"], "invalid")
        counts = {reason.value: n for reason, n in self.node.service.rejected.counts.items()}
        self.assertEqual(counts["invalid"], 50)
        self.assertLessEqual(sum(line["count"] for line in lines), 50)


class MadeUpMembersTest(unittest.TestCase):
    def test_members_of_services_that_are_not_configured_are_kept_up_to_a_limit(self):
        node = Node()
        node.put()
        statuses = [
            node.put(
                f"x{number}", addr=f"10.1.{number // 200}.{number % 200}:1", service=f"s{number}"
            )
            for number in range(MAX_UNCONFIGURED_MEMBERS + 20)
        ]
        self.assertEqual(statuses.count(200), MAX_UNCONFIGURED_MEMBERS)
        self.assertEqual(statuses[-20:], [503] * 20)
        self.assertEqual(len(node.state.members), MAX_UNCONFIGURED_MEMBERS + 1)
        self.assertEqual(len(node.events(471)), 1)
        self.assertEqual(node.put("m2", addr="10.0.0.10:1"), 200, "of a configured service")
        self.assertEqual(node.put("x0", addr="10.1.0.0:1", service="s0", **{"call-seq": 5}), 200)

    def test_the_next_configuration_may_name_them(self):
        node = Node(services=None)  # members announce themselves before the first configuration
        self.assertEqual(node.put(service="new"), 200)
        self.assertEqual(list(node.state.members), ["m1"])

    def test_all_members_together_are_limited(self):
        node = Node(services=None)
        record = node.put() and node.state.members["m1"]
        for number in range(MAX_MEMBERS - 1):
            name = f"x{number}"
            node.state.members[name] = msgspec.structs.replace(record, instance=name, address=name)
        self.assertEqual(node.put("m2", addr="10.0.0.10:1"), 503)
        self.assertEqual(node.put(**{"call-seq": 5}), 200)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
mutations = st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), json_values, min_size=1, max_size=2)
bodies = (
    st.binary(max_size=200)
    | json_values.map(lambda value: json.dumps(value).encode())
    | mutations.map(lambda changes: json.dumps(HEARTBEAT | changes).encode())
)


class FuzzTest(unittest.TestCase):
    """Any body gets a clear answer, and changes known members only if it is valid."""

    @settings(max_examples=600, deadline=None, derandomize=True)
    @given(st.sampled_from(["PUT", "DELETE"]), st.sampled_from(["m1", "m2"]), bodies)
    def test_any_body(self, method, instance, body):
        node = Node()
        node.put()
        before = node.state.snapshot()
        status = node.call(method, instance, body)
        self.assertIn(status, (200, 400, 409, 413, 503))
        if status != 200:
            self.assertEqual(node.state.snapshot(), before)
            return
        restored = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        restored.restore(node.state.snapshot())
        self.assertEqual(restored.members, node.state.members)
        if method == "PUT":
            fields = json.loads(body)
            self.assertIn(fields["state"], ("ready", "draining"))
            self.assertIs(type(fields["slots"]), int)


if __name__ == "__main__":
    unittest.main()
