"""Conversion of a member's heartbeat to its record."""

import unittest

import msgspec

from tests.support import platform_path  # noqa: F401 - it is imported for its effect

from rowanrail_platform.announcements import Heartbeat  # isort: skip

HEARTBEAT = {
    "service": "db",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "slots": 5,
    "state": "ready",
    "db-role": "replica",
    "call-seq": 4,
}


class HeartbeatTest(unittest.TestCase):
    def record(self, **fields):
        body = msgspec.json.encode(HEARTBEAT | fields)
        return msgspec.json.decode(body, type=Heartbeat).to_member_record("i-1")

    def test_cold_time_is_rounded_to_milliseconds(self):
        self.assertEqual(self.record(**{"cold-ms": 3200}).cold_ms, 3200)
        self.assertEqual(self.record(**{"cold-ms": 3200.4}).cold_ms, 3200)

    def test_cold_time_defaults_to_zero(self):
        self.assertEqual(self.record().cold_ms, 0)
        self.assertEqual(self.record(**{"cold-ms": -5}).cold_ms, 0)
