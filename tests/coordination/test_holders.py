"""Incremental holders and log replay give the same result as a full computation."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.log import Log
from rowanrail.consensus.messages import Entry, EntryKind, Membership, Snapshot
from rowanrail.coordination.changes import DirectoryChange, GatewayChange
from rowanrail.coordination.commands import Announce, Remove, SetGateways
from rowanrail.coordination.holders import RankedHolders
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.replay import LogReplay
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import DEMAND_AGGREGATOR, rank, shards_of


def ranked(state):
    """Return the holders by ranking all gateways for all services."""
    by_group = {}
    for gateway in state.gateways.values():
        by_group.setdefault(gateway.sharing_group, []).append(gateway.name)
    services = {member.service for member in state.members.values()}
    held = set(services)
    if any(gateway.group for gateway in state.gateways.values()):
        held = {shard.key for service in services for shard in shards_of(service)} | {
            DEMAND_AGGREGATOR
        }
    names = {rank(service, known)[0] for known in by_group.values() for service in held}
    return [state.gateways[name] for name in sorted(names)]


def new_state():
    return CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())


members = st.builds(
    MemberRecord,
    st.sampled_from([f"m{n}" for n in range(6)]),
    st.sampled_from(["db1", "db2", "db3"]),
    st.sampled_from([f"10.0.0.{n}:1" for n in range(4)]),
    st.sampled_from(["a", "b"]),
    st.booleans(),
    st.booleans(),
    st.just(3),
    st.integers(0, 50),
)
gateways = st.builds(
    GatewayRecord,
    st.sampled_from([f"g{n}" for n in range(8)]),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["10.0.1.1:1", "10.0.1.2:1"]),
    st.sampled_from(["", "", "east"]),
)
commands = st.one_of(
    st.builds(Announce, members),
    st.builds(Remove, st.sampled_from([f"m{n}" for n in range(6)])),
    st.builds(
        SetGateways,
        st.lists(gateways, max_size=4, unique_by=lambda gateway: gateway.name),
        st.lists(st.sampled_from([f"g{n}" for n in range(8)]), max_size=3),
    ),
)


def entries(listed, term=1):
    return [
        Entry(term, index, EntryKind.COMMAND, msgspec.msgpack.encode(command))
        for index, command in enumerate(listed, 1)
    ]


class HoldersTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(commands, max_size=30))
    def test_incremental_ranking_equals_full_ranking(self, listed):
        state = new_state()
        for entry in entries(listed):
            state.apply(entry)
            after = {record.name: record for record in ranked(state)}
            self.assertEqual(state.holders.records, [after[name] for name in sorted(after)])
            self.assertEqual(state.groups, len({g.sharing_group for g in state.gateways.values()}))
        restored = new_state()
        restored.restore(state.snapshot())
        self.assertEqual(restored.holders.records, state.holders.records)

    def test_a_change_returns_only_the_holders_that_changed(self):
        listed = [GatewayRecord(f"g{n}", "a", f"g{n}:1") for n in range(5)]
        member = MemberRecord("m1", "db", "m1:1", "a", False, False, 3, 1)
        holders = RankedHolders([member], listed)
        (first,) = holders.records
        others = [gateway for gateway in listed if gateway is not first]
        gone = DirectoryChange(2, gateways=[GatewayChange(others[0], None)])
        self.assertEqual(holders.apply(gone), [])
        gone = DirectoryChange(3, gateways=[GatewayChange(first, None)])
        (second,) = RankedHolders([member], others[1:]).records
        self.assertCountEqual(
            holders.apply(gone), [GatewayChange(first, None), GatewayChange(None, second)]
        )


class ReplayTest(unittest.TestCase):
    """Replay of a log, committed or not, while entries are appended and truncated."""

    def log(self, listed):
        return Log(Snapshot(0, 0, Membership(), b""), listed)

    def replayed(self, replay, log):
        return replay.replay(log).snapshot()

    def expected(self, log):
        return new_state().replayed(log.snapshot, log.entries_between(1, log.last_index)).snapshot()

    def test_truncated_entries_are_discarded(self):
        member = MemberRecord("m1", "db", "m1:1", "a", False, False, 3, 1)
        lost = msgspec.structs.replace(member, instance="m2", address="m2:1")
        replay = LogReplay(new_state())
        log = self.log(entries([Announce(member), Announce(lost)]))
        self.assertEqual(self.replayed(replay, log), self.expected(log))
        log.truncate_from(2)
        log.append([Entry(2, 2, EntryKind.COMMAND, msgspec.msgpack.encode(Remove("m1")))])
        self.assertEqual(self.replayed(replay, log), self.expected(log))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(commands, st.integers(0, 3)), max_size=20))
    def test_incremental_replay_equals_full_replay(self, steps):
        replay = LogReplay(new_state())
        log = self.log([])
        for term, (command, dropped) in enumerate(steps, 1):
            log.truncate_from(max(1, log.last_index + 1 - dropped))
            data = msgspec.msgpack.encode(command)
            log.append([Entry(term, log.last_index + 1, EntryKind.COMMAND, data)])
            self.assertEqual(self.replayed(replay, log), self.expected(log))


if __name__ == "__main__":
    unittest.main()
