"""Durable storage with torn tails, flipped bits and crashes; the message decoder with garbage."""

import random
import unittest
import unittest.mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rowanlab.simulator.disk import SimulatedDisk
from rowanrail.consensus.messages import Entry, EntryKind, HardState, Membership, Snapshot
from rowanrail.consensus.storage import Identity, Storage
from rowanrail.kernel.errors import StorageError, TransportError
from rowanrail.rpc.codec import FrameKind, decode_frame, encode_frame
from rowanrail.sql_control.messages import ReadRequest

FIXED = settings(derandomize=True, deadline=None, max_examples=150, database=None)
SEGMENT = "log-00000000000000000002"


def entry(index, size=40):
    return Entry(1, index, EntryKind.COMMAND, bytes([index % 256]) * size)


def new_storage(honours_sync=True, seed=1):
    storage = Storage(SimulatedDisk(random.Random(seed), honours_sync))
    storage.create(Identity("c", "n@1"), Snapshot(1, 1, Membership({"n@1": "a"}), b""))
    return storage


def indexes(disk):
    _, log = Storage(disk).load()
    return list(range(log.snapshot_index + 1, log.last_index + 1))


class TestReopen(unittest.TestCase):
    """Reopening a storage after failed writes."""

    def fail(self, storage, entries):
        storage.disk.full = True
        with self.assertRaises(StorageError):
            storage.append(entries)

    def test_reopen_fails_while_disk_is_full(self):
        storage = new_storage()
        storage.load()
        self.fail(storage, [entry(2)])
        with self.assertRaises(StorageError):
            storage.reopen()

    def test_unsynced_entries_are_truncated(self):
        for seed in range(20):
            storage = new_storage(seed=seed)
            storage.load()
            storage.append([entry(2), entry(3)])
            self.fail(storage, [entry(4), entry(5), entry(6)])
            with self.assertRaises(StorageError):
                storage.reopen()
            storage.disk.full = False
            _, log = storage.reopen()
            self.assertEqual(log.last_index, 3)

    def test_entries_of_a_failed_sync_are_truncated(self):
        # They can be read, but may not be on the disk.
        storage = new_storage()
        storage.load()
        storage.append([entry(2)])
        storage.disk.sync_file = unittest.mock.Mock(side_effect=StorageError("sync"))
        with self.assertRaises(StorageError):
            storage.append([entry(3)])
        with self.assertRaises(StorageError):
            storage.reopen()
        del storage.disk.sync_file
        _, log = storage.reopen()
        self.assertEqual(log.last_index, 2)

    def test_reopened_storage_accepts_entries(self):
        storage = new_storage()
        storage.load()
        storage.save_hard_state(HardState(5, "n@1"))
        storage.append([entry(2), entry(3)])
        self.fail(storage, [entry(4)])
        storage.disk.full = False
        hard_state, _ = storage.reopen()
        self.assertEqual(hard_state, HardState(5, "n@1"))
        storage.append([entry(4), entry(5)])
        storage.disk.crash()
        self.assertEqual(indexes(storage.disk), [2, 3, 4, 5])

    def test_reopen_fails_without_space_for_the_failed_write(self):
        storage = new_storage()
        storage.load()
        free_bytes = len(storage.disk.read("hard-state")) + 10
        append = storage.disk.append

        def append_if_it_fits(name, data):
            if len(data) > free_bytes:
                raise StorageError("the disk is full")
            append(name, data)

        storage.disk.append = append_if_it_fits
        with self.assertRaises(StorageError):
            storage.append([entry(2, size=4 * free_bytes)])
        with self.assertRaises(StorageError):
            storage.reopen()


class TestTornTail(unittest.TestCase):
    def test_unsynced_tail_truncated_at_every_byte_is_accepted(self):
        storage = new_storage()
        storage.load()
        storage.append([entry(2), entry(3)])
        synced = len(storage.disk.read(SEGMENT))
        storage.append([entry(4), entry(5)])
        whole = storage.disk.read(SEGMENT)
        for length in range(synced, len(whole) + 1):
            storage.disk.truncate(SEGMENT, len(whole))
            storage.disk._current[SEGMENT] = whole[:length]
            found = indexes(storage.disk)
            self.assertEqual(found[:2], [2, 3], length)
            self.assertEqual(found, list(range(2, 2 + len(found))))

    @FIXED
    @given(st.integers(0, 10_000), st.integers(0, 7))
    def test_a_flipped_bit_before_the_last_record_is_refused(self, position, bit):
        storage = new_storage()
        storage.load()
        lengths = []
        for index in range(2, 8):
            storage.append([entry(index)])
            lengths.append(len(storage.disk.read(SEGMENT)))
        data = bytearray(storage.disk.read(SEGMENT))
        data[position % lengths[-2]] ^= 1 << bit
        storage.disk._current[SEGMENT] = bytes(data)
        with self.assertRaises(StorageError) as raised:
            Storage(storage.disk).load()
        self.assertIn("move it away", str(raised.exception))

    @FIXED
    @given(st.sampled_from(["identity", "hard-state", "snapshot"]), st.integers(0, 10_000))
    def test_a_damaged_file_is_refused(self, name, position):
        storage = new_storage()
        data = bytearray(storage.disk.read(name))
        data[position % len(data)] ^= 0x10
        storage.disk._current[name] = bytes(data)
        damaged = Storage(storage.disk)
        with self.assertRaises(StorageError):
            damaged.load_identity()
            damaged.load()


class TestCrashes(unittest.TestCase):
    """Durable entries, snapshots and hard state after crashes."""

    actions = st.lists(
        st.one_of(
            st.tuples(st.just("append"), st.integers(1, 4)),
            st.tuples(st.just("truncate"), st.integers(0, 3)),
            st.tuples(st.just("snapshot"), st.integers(0, 3)),
            st.tuples(st.just("vote"), st.integers(1, 9)),
            st.tuples(st.just("crash"), st.just(0)),
        ),
        max_size=25,
    )

    @FIXED
    @given(actions, st.integers(0, 1000))
    def test_promises_survive(self, actions, seed):
        storage = new_storage(seed=seed)
        storage.load()
        last, base, hard_state = 1, 1, HardState()
        for action, amount in actions:
            if action == "append":
                storage.append([entry(last + step + 1) for step in range(amount)])
                last += amount
            elif action == "truncate" and last - amount > base:
                storage.truncate_from(last - amount + 1)
                last -= amount
            elif action == "snapshot" and base + amount <= last:
                base += amount
                storage.save_snapshot(Snapshot(base, 1, Membership({"n@1": "a"}), b"s"))
            elif action == "vote":
                hard_state = HardState(hard_state.term + amount, "m")
                storage.save_hard_state(hard_state)
            elif action == "crash":
                storage.disk.crash()
                storage = Storage(storage.disk)
                self.check(storage, last, base, hard_state)
        storage.disk.crash()
        self.check(Storage(storage.disk), last, base, hard_state)

    def check(self, storage, last, base, hard_state):
        found, log = storage.load()
        self.assertEqual(found, hard_state)
        self.assertEqual((log.snapshot_index, log.last_index), (base, last))
        for index in range(base + 1, last + 1):
            self.assertEqual(log.entries_between(index, index), [entry(index)])

    def test_unsynced_state_is_lost_in_a_crash(self):
        storage = new_storage(honours_sync=False)
        storage.append([entry(2)])
        storage.disk.crash()
        self.assertIsNone(Storage(storage.disk).load_identity())

    def test_unfinished_replacement_keeps_the_previous_file(self):
        storage = new_storage()
        storage.save_hard_state(HardState(3, "a"))
        storage.disk.append("hard-state.tmp", b"half a fi")
        storage.disk.crash()
        self.assertEqual(Storage(storage.disk).load()[0], HardState(3, "a"))


class TestDecoder(unittest.TestCase):
    @FIXED
    @given(st.binary(max_size=200))
    def test_garbage_is_an_error(self, data):
        with self.assertRaises(TransportError):
            decode_frame(data)

    @FIXED
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_a_changed_byte_is_an_error_or_a_message(self, position, mask):
        data = bytearray(encode_frame(FrameKind.REQUEST, 7, ReadRequest()))
        data[position % len(data)] ^= mask
        try:
            decode_frame(bytes(data))
        except TransportError:
            pass
