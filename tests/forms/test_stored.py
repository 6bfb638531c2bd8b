"""Data folders of control nodes stay compatible with those that an earlier version wrote.

``data`` was generated at revision b0400eb. ``stored.json`` has samples of each stored type, in the
format of ``messages.json`` (see ``test_messages``). For each kind of control node, ``before`` is
the folder of a single node that took a snapshot every six entries and restarted once, and ``after``
is the same folder after two more runs, whose commands, results and states are in ``story.json``.
``sql/backup`` is a backup of ``sql/before``. The tests repeat both runs and expect identical files,
so that the earlier version can read what this one writes.
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
from tests.forms.golden import DATA_FOLDER, GoldenTestCase, load_golden, make_decoder
from tests.forms.schema import to_json_value

GOLDEN = load_golden("stored.json")
# Short election timeouts, as the node is alone; a snapshot every six entries.
OPTIONS = NodeOptions(RaftConfig(0.01, 0.02, first_election_seconds=0.005), snapshot_entries=6)


class TypesTest(GoldenTestCase):
    def test_commands_of_gateways_control_nodes(self):
        self.check_union(Command, GOLDEN["log of the gateways' control nodes"])

    def test_command_of_sql_control_nodes(self):
        golden = GOLDEN["log of the SQL control nodes"]["change"]
        self.check_type(ChangeCommand, golden, make_decoder(ChangeCommand), msgspec.msgpack.encode)

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
                self.check_type(
                    kind, GOLDEN["files"][name], make_decoder(kind), msgspec.msgpack.encode
                )


def folder_contents(folder: Path) -> dict[str, str]:
    """Return the contents of a folder's files in hex, by name."""
    return {path.name: path.read_bytes().hex() for path in sorted(folder.iterdir())}


def decoded_state(machine: StateMachine) -> Any:
    """Return the state of a state machine, decoded from a snapshot."""
    return to_json_value(msgspec.msgpack.decode(machine.snapshot()))


class NodeRun:
    """One run of a single control node on a data folder."""

    def __init__(self, folder: Path, story: Any, machine: StateMachine) -> None:
        self.folder = folder
        self.machine = machine
        name = story["node"]
        self.config = NodeConfig(story["cluster"], name, [NodeAddress(name, name)])

    async def run(self, commands: list[bytes]) -> tuple[Any, list[Any], Any]:
        """Return the state at the start, the results of the commands, and the state after them."""
        disk = FileDisk(self.folder)
        storage = Storage(disk)
        network = mock.Mock()
        learner_first = policies.LearnerFirst()
        identity = await open_data_folder(
            self.config, storage, network, random.Random(0), learner_first, bootstrap=False
        )
        node = ConsensusNode(
            identity, storage, network, self.machine, OPTIONS, random.Random(0), Registry()
        )
        node.start()
        try:
            async with asyncio.timeout(5.0):
                while not self._has_applied_all(node):
                    await asyncio.sleep(0.001)
                initial_state = decoded_state(self.machine)
                results = [to_json_value(await node.propose(command)) for command in commands]
        finally:
            await node.stop()
            disk.close()
        return initial_state, results, decoded_state(self.machine)

    @staticmethod
    def _has_applied_all(node: ConsensusNode) -> bool:
        return node.raft.is_established_leader and node.applied_index == node.raft.log.last_index


class DataFolderTestCase(GoldenTestCase):
    """Opens a folder that an earlier version wrote, and continues to write to it."""

    kind = ""
    command: Any = None
    index = 0  # last index of the snapshot in ``before``; the log continues after it

    def machine(self) -> StateMachine:
        """Return an empty state machine."""
        raise NotImplementedError

    def setUp(self) -> None:
        self.data = DATA_FOLDER / self.kind
        self.story = load_golden(f"{self.kind}/story.json")
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name) / "folder"
        shutil.copytree(self.data / "before", self.folder)

    def test_the_folder_holds_a_snapshot_and_entries_after_it(self):
        _, log = Storage(FileDisk(self.folder)).load()
        self.assertEqual(log.snapshot_index, self.index)
        self.assertGreater(log.last_index, self.index + 1)
        self.assertEqual(
            folder_contents(self.folder),
            folder_contents(self.data / "before"),
            "reading must not change files",
        )

    def test_folder_is_byte_identical_after_two_more_runs(self):
        expected = self.story["state"]
        for golden_run in self.story["lives"]:
            received = [bytes.fromhex(data) for data in golden_run["commands"]]
            commands = [make_decoder(self.command)(data) for data in received]
            node = NodeRun(self.folder, self.story, self.machine())
            encoded = [msgspec.msgpack.encode(command) for command in commands]
            initial_state, results, state = asyncio.run(node.run(encoded))
            self.assertEqual(initial_state, expected)
            self.assertEqual(results, golden_run["results"])
            self.assertEqual(state, golden_run["state"])
            expected = state
        self.assertEqual(folder_contents(self.folder), folder_contents(self.data / "after"))

    def test_every_file_round_trips_to_the_same_bytes(self):
        for name, kind in {
            "identity": Identity,
            "hard-state": HardState,
            "snapshot": Snapshot,
        }.items():
            for folder in ("before", "after"):
                data = (self.data / folder / name).read_bytes()
                value = make_decoder(kind)(data[8:])
                self.assertEqual(
                    encode_checksummed(msgspec.msgpack.encode(value)), data, f"{folder}/{name}"
                )


class GatewaysFolderTest(DataFolderTestCase):
    kind, command, index = "gateways", Command, 13

    def machine(self) -> StateMachine:
        return CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())

    def test_the_folder_belongs_to_the_cluster_of_that_kind(self):
        identity = Storage(FileDisk(self.folder)).load_identity()
        self.assertEqual(identity, Identity(CLUSTER, f"{self.story['node']}@1"))


class SqlFolderTest(DataFolderTestCase):
    kind, command, index = "sql", ChangeCommand, 7

    def machine(self) -> StateMachine:
        return ConfigurationState(ExpectedVersion())

    def test_a_backup_of_the_folder_has_the_same_bytes(self):
        backup = sql_backup.make_backup(Storage(FileDisk(self.folder)))
        encoded = sql_backup.encode_backup(backup)
        golden = (self.data / "backup").read_bytes()
        self.assertEqual(encoded.hex(), golden.hex())
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
        self.assertEqual(decoded_state(machine), self.story["state"])
        self.assertEqual(version, self.story["state"]["current"]["version"])


del DataFolderTestCase  # the base class has tests, but no folder


if __name__ == "__main__":
    unittest.main()
