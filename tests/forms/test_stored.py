"""Data folders of control nodes, held against folders that were written by an earlier version.

How ``data`` was made: a script ran in a checkout of b0400eb, the code in use when these tests were
written. ``stored.json`` holds samples of each type that stands in a folder, made like those of
``messages.json`` (see ``test_messages``). For each kind of control node, ``before`` is the folder
of a node that ran alone, took a snapshot each six entries, and was started again once; ``after``
is the same folder after two more lives, whose commands, results and states stand in
``story.json``. ``sql/backup`` is a backup of ``sql/before``. The tests live the same two lives with
today's code: as its folder has the same bytes in the end, the earlier version reads what today's
writes.
"""

import asyncio
import random
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from rowanrail.cluster.data_folder import NodeConfig, open_data_folder
from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.config.settings import NodeAddress
from rowanrail.consensus import policies
from rowanrail.consensus.messages import HardState, Membership, Snapshot
from rowanrail.consensus.node import ConsensusNode, NodeOptions
from rowanrail.consensus.raft_types import RaftConfig
from rowanrail.consensus.state_machine import StateMachine
from rowanrail.consensus.storage import Identity, LogRecord, Storage, encode_checksummed
from rowanrail.coordination import state as gateways_state
from rowanrail.coordination.commands import Command
from rowanrail.coordination.node import CLUSTER
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.disk import FileDisk
from rowanrail.kernel.registry import Registry
from rowanrail.sql_control import backup as sql_backup
from rowanrail.sql_control import state as sql_state
from rowanrail.sql_control.messages import ChangeCommand
from rowanrail.sql_control.policies import ExpectedVersion
from rowanrail.sql_control.state import ConfigurationState
from tests.forms.form import plain
from tests.forms.golden import DATA, GoldenCase, decoder, load

GOLDEN = load("stored.json")
# Elections of a node that is alone are over at once; a snapshot each few entries.
OPTIONS = NodeOptions(RaftConfig(0.01, 0.02, first_election_seconds=0.005), snapshot_entries=6)


class TypesTest(GoldenCase):
    def test_commands_of_gateways_control_nodes(self):
        self.hold_union(Command, GOLDEN["log of the gateways' control nodes"])

    def test_command_of_sql_control_nodes(self):
        golden = GOLDEN["log of the SQL control nodes"]["change"]
        self.hold(ChangeCommand, golden, decoder(ChangeCommand), msgspec.msgpack.encode)

    def test_files(self):
        kinds = {
            "identity": Identity,
            "hard-state": HardState,
            "snapshot": Snapshot,
            "record": LogRecord,
            "membership": Membership,
            "state of the gateways' control nodes": gateways_state.StateSnapshot,
            "state of the SQL control nodes": sql_state.ConfigurationSnapshot,
            "backup": sql_backup.Backup,
        }
        self.assertEqual(sorted(kinds), sorted(GOLDEN["files"]))
        for name, kind in kinds.items():
            with self.subTest(name):
                self.hold(kind, GOLDEN["files"][name], decoder(kind), msgspec.msgpack.encode)


def contents(folder: Path) -> dict[str, str]:
    """Return the files of a folder, in hex."""
    return {path.name: path.read_bytes().hex() for path in sorted(folder.iterdir())}


def state_of(machine: StateMachine) -> Any:
    """Return a state machine's whole state, as its snapshot would have it."""
    return plain(msgspec.msgpack.decode(machine.snapshot()))


class Life:
    """One run of a control node that is alone, on a folder."""

    def __init__(self, folder: Path, story: Any, machine: StateMachine) -> None:
        self.folder = folder
        self.machine = machine
        name = story["node"]
        self.owner = NodeConfig(story["cluster"], name, [NodeAddress(name, name)])

    async def live(self, commands: list[bytes]) -> tuple[Any, list[Any], Any]:
        """Return the state that was found, the results of commands, and the state after them."""
        disk = FileDisk(self.folder)
        storage = Storage(disk)
        network = mock.Mock()
        learner_first = policies.LearnerFirst()
        identity = await open_data_folder(
            self.owner, storage, network, random.Random(0), learner_first, bootstrap=False
        )
        node = ConsensusNode(
            identity, storage, network, self.machine, OPTIONS, random.Random(0), Registry()
        )
        node.start()
        try:
            async with asyncio.timeout(5.0):
                while not self._has_all(node):
                    await asyncio.sleep(0.001)
                found = state_of(self.machine)
                results = [plain(await node.propose(command)) for command in commands]
        finally:
            await node.stop()
            disk.close()
        return found, results, state_of(self.machine)

    @staticmethod
    def _has_all(node: ConsensusNode) -> bool:
        return node.raft.is_established_leader and node.applied_index == node.raft.log.last_index


class FolderCases(GoldenCase):
    """Opens a folder that was written earlier, and lives on in it."""

    kind = ""
    command: Any = None
    index = 0  # of the snapshot, after which entries follow in the log

    def machine(self) -> StateMachine:
        """Return an empty state machine."""
        raise NotImplementedError

    def setUp(self) -> None:
        self.data = DATA / self.kind
        self.story = load(f"{self.kind}/story.json")
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name) / "folder"
        shutil.copytree(self.data / "before", self.folder)

    def test_the_folder_holds_a_snapshot_and_entries_after_it(self):
        _, log = Storage(FileDisk(self.folder)).load()
        self.assertEqual(log.snapshot_index, self.index)
        self.assertGreater(log.last_index, self.index + 1)
        self.assertEqual(contents(self.folder), contents(self.data / "before"), "only read")

    def test_what_is_written_in_two_more_lives_has_the_same_bytes(self):
        expected = self.story["state"]
        for life in self.story["lives"]:
            received = [bytes.fromhex(data) for data in life["commands"]]
            commands = [decoder(self.command)(data) for data in received]
            node = Life(self.folder, self.story, self.machine())
            encoded = [msgspec.msgpack.encode(command) for command in commands]
            found, results, state = asyncio.run(node.live(encoded))
            self.assertEqual(found, expected)
            self.assertEqual(results, life["results"])
            self.assertEqual(state, life["state"])
            expected = state
        self.assertEqual(contents(self.folder), contents(self.data / "after"))

    def test_all_files_are_read_and_written_alike(self):
        for name, kind in {
            "identity": Identity,
            "hard-state": HardState,
            "snapshot": Snapshot,
        }.items():
            for folder in ("before", "after"):
                data = (self.data / folder / name).read_bytes()
                value = decoder(kind)(data[8:])
                self.assertEqual(
                    encode_checksummed(msgspec.msgpack.encode(value)), data, f"{folder}/{name}"
                )


class GatewaysFolderTest(FolderCases):
    kind, command, index = "gateways", Command, 13

    def machine(self) -> StateMachine:
        return CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())

    def test_the_folder_belongs_to_the_cluster_of_that_kind(self):
        identity = Storage(FileDisk(self.folder)).load_identity()
        self.assertEqual(identity, Identity(CLUSTER, f"{self.story['node']}@1"))


class SqlFolderTest(FolderCases):
    kind, command, index = "sql", ChangeCommand, 7

    def machine(self) -> StateMachine:
        return ConfigurationState(ExpectedVersion())

    def test_a_backup_of_the_folder_has_the_same_bytes(self):
        backup = sql_backup.make_backup(Storage(FileDisk(self.folder)))
        made = sql_backup.encode_backup(backup)
        golden = (self.data / "backup").read_bytes()
        self.assertEqual(made.hex(), golden.hex())
        self.assertEqual(sql_backup.decode_backup(golden), backup)

    def test_a_backup_is_restored_to_the_same_state(self):
        backup = sql_backup.decode_backup((self.data / "backup").read_bytes())
        folder = self.folder.parent / "restored"
        options = sql_backup.RestoreOptions("east", "c9", "127.0.7.9:7001")
        version = sql_backup.restore_backup(Storage(FileDisk(folder)), backup, options)
        _, log = Storage(FileDisk(folder)).load()
        machine = self.machine()
        assert log.snapshot is not None
        machine.restore(log.snapshot.data)
        self.assertEqual(state_of(machine), self.story["state"])
        self.assertEqual(version, self.story["state"]["current"]["version"])


del FolderCases  # has tests, but no folder of its own


if __name__ == "__main__":
    unittest.main()
