"""Values that processes of different versions compute independently and must agree on.

The expected values were computed at revision b0400eb.
"""

import unittest

from rowanrail.config.model import Configuration, SiteSpec, UserSpec, VersionedConfiguration
from rowanrail.directory.digests import RecordKind, combined_digest, record_hash
from rowanrail.directory.messages import DirectoryUpdate, GatewayRecord, control_nodes_checksum
from rowanrail.directory.update_encoding import decode_update
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.placement.hashed import Shard, rank
from rowanrail.sql_proxy.requests import request_digest
from rowanrail.sql_proxy.token import decode_token, encode_token
from rowanrail.tenants.model import key_digest

MEMBER = MemberRecord("i-1", "db", "10.0.0.1:3306", "a", True, False, 8, 5)
GATEWAY = GatewayRecord("g1", "a", "10.0.1.1:18710", "r1")
GATEWAYS = [f"g{number}" for number in range(6)]
TOKEN = "AYKlY2FydHOSAQKmb3JkZXJzkgPOAAERcBbO85Y"
ENCODED_UPDATE = (
    "789c5dcd3d0e82401086612d8c965e44c384c4bfcb90919d904d965ddc0112ac6deca0b315214b8387500f261a2bb"
    "faf7f9fcbf4351fffad3a7752738a3aa49b5c8063b2b90ca9167b87425862eec15b7e0e3bdff756cdd168baa24bac"
    "8cd1164fa70873a9a347cbcaa43ceb980e190db5890b8d1241cca36a086fab53a331a63a825fa1b7a4b0087ec8fd8"
    "bc080c0660d5e1b599325b585b22cdf71ed4385"
)


class DerivedTest(unittest.TestCase):
    def test_directory_digests(self):
        member = combined_digest(record_hash(RecordKind.MEMBER, MEMBER))
        kinds = (RecordKind.NEIGHBOUR, RecordKind.REMOTE_HOLDER)
        gateways = combined_digest(*(record_hash(kind, GATEWAY) for kind in kinds))
        self.assertEqual(member.hex(), "f66dc7a53c0091e7f8b37fe67d1ddf7a")
        self.assertEqual(gateways.hex(), "b17b2c34428bd2ccfac1d6c15397016d")

    def test_checksum_of_control_node_addresses(self):
        self.assertEqual(control_nodes_checksum(["a:1", "b:2"]), 2400326235)

    def test_encoded_directory_update(self):
        update = DirectoryUpdate(7, b"\1" * 16, [MEMBER], ["i-9"], [GATEWAY])
        self.assertEqual(decode_update(bytes.fromhex(ENCODED_UPDATE)), update)

    def test_digest_of_a_configuration(self):
        site, user = SiteSpec("s", "r", ["a"]), UserSpec("u", "*00")
        configuration = Configuration(sites=[site], users=[user])
        digest = VersionedConfiguration(3, configuration, ["g/m"]).digest()
        self.assertEqual(digest, "96f3da523681f9c3")

    def test_digest_of_a_key(self):
        self.assertEqual(key_digest("secret").hex(), "12b033d357080ef091a0f8b61545eaa5")

    def test_shard_of_a_tenant(self):
        numbers = [Shard.of("db", f"tenant-{number}").number for number in range(16)]
        self.assertEqual(numbers, [0, 1, 1, 2, 2, 2, 1, 2, 1, 1, 1, 1, 0, 2, 2, 0])

    def test_rank_of_connection_holders(self):
        keys = [Shard.of("orders", tenant).key for tenant in ("", "anna", "bob", "t3")]
        self.assertEqual(keys, ["orders", "orders/1", "orders/1", "orders/2"])
        self.assertEqual(rank("orders", GATEWAYS), ["g3", "g1", "g4", "g2", "g0", "g5"])
        self.assertEqual(rank(keys[2], GATEWAYS), ["g0", "g2", "g3", "g5", "g1", "g4"])

    def test_token_of_a_session(self):
        positions = {"carts": Position(1, 2), "orders": Position(3, 70000)}
        self.assertEqual(encode_token(positions), TOKEN)
        self.assertEqual(decode_token(TOKEN).unwrap(), positions)

    def test_digest_of_a_request(self):
        self.assertEqual(request_digest(["a", "b"]), "59b271ae1bbcb1d31d41929817f4b16f")


if __name__ == "__main__":
    unittest.main()
