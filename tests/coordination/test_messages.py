"""What the messages that are sent all the time cost on the wire."""

import unittest

from rowanrail.consensus.messages import AppendReply, AppendRequest
from rowanrail.coordination.messages import GatewayReport
from rowanrail.gateway.model import PrimaryHealth
from rowanrail.rpc.codec import FrameKind, decode_frame, encode_frame

NODE = "10.1.0.38:7520@fbf0426a60ad"
HEARTBEAT_BYTES = 70
REPORT_BYTES = 190


class FrameSizeTest(unittest.TestCase):
    def size(self, message):
        frame = encode_frame(FrameKind.NOTICE, 0, message)
        self.assertEqual(decode_frame(frame)[2], message)
        return len(frame)

    def test_a_heartbeat_of_the_leader_is_mostly_its_name(self):
        self.assertLess(self.size(AppendRequest(NODE, 12, 1800, 12, [], 1800, 40)), HEARTBEAT_BYTES)
        self.assertLess(self.size(AppendReply(NODE, 12, True, 1800, 40)), HEARTBEAT_BYTES)

    def test_a_report_of_three_services_names_no_fields(self):
        services = [PrimaryHealth(f"db{n}", f"i-4{n}cba1c7a", 900, 0) for n in range(3)]
        report = GatewayReport("front-chapultepec-1", "chapultepec", services, 1, "10.1.0.1:7520")
        self.assertLess(self.size(report), REPORT_BYTES)
