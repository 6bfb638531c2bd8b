"""Base class of tests that compare types with golden encodings."""

import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import inspect

from tests.forms.additions import has_only_additions, without_additions
from tests.forms.golden_file import DATA_FOLDER, load_golden
from tests.forms.schema import schema_differences, schema_of, to_json_value

__all__ = ["DATA_FOLDER", "GoldenTestCase", "load_golden"]

Decode = Callable[[bytes], msgspec.Struct]
Encode = Callable[[msgspec.Struct], bytes]


class GoldenTestCase(unittest.TestCase):
    """Compares types with their schemas and samples in a golden file."""

    def check_type(self, kind: Any, golden: Any, decode: Decode, encode: Encode) -> None:
        """Check the schema of a type, and that its golden bytes round-trip."""
        form = without_additions(schema_of(inspect.type_info(kind)))
        self.assertEqual(schema_differences(golden["form"], form), [])
        for sample in golden["samples"]:
            self.check_bytes(sample["bytes"], sample["value"], sample["bytes"], decode, encode)
        if "less" in golden:  # from an older peer, without the fields that have a default
            less = golden["less"]
            self.check_bytes(less["received"], less["value"], less["bytes"], decode, encode)
        if "more" in golden:  # from a newer peer, with an unknown field
            first = golden["samples"][0]
            more = golden.get("more after additions", golden["more"])
            self.check_bytes(more, first["value"], first["bytes"], decode, encode)

    def check_bytes(
        self, received: str, value: Any, sent: str, decode: Decode, encode: Encode
    ) -> None:
        """Check that bytes decode to a value, and that it encodes to the expected bytes."""
        decoded = decode(bytes.fromhex(received))
        self.assertEqual(to_json_value(decoded), value)
        self.check_encoded(encode(decoded), bytes.fromhex(sent))

    def check_encoded(self, encoded: bytes, golden: bytes) -> None:
        """Check that bytes are the golden ones, except for defaults of fields that were added."""
        if encoded != golden:
            values = msgspec.msgpack.decode(golden), msgspec.msgpack.decode(encoded)
            self.assertTrue(has_only_additions(*values), f"{values[1]}, expected {values[0]}")

    def check_union(self, union: Any, golden: dict[str, Any]) -> None:
        """Check all structs of a tagged union."""
        kinds = {str(kind.__struct_config__.tag): kind for kind in union.__args__}
        self.assertEqual(sorted(kinds), sorted(golden), "every tag needs golden samples")
        for tag, kind in kinds.items():
            with self.subTest(tag):
                self.check_type(kind, golden[tag], make_decoder(union), msgspec.msgpack.encode)


def make_decoder(kind: Any) -> Decode:
    """Return the ``decode`` method of a MessagePack decoder of a type."""
    decode: Decode = msgspec.msgpack.Decoder(kind).decode
    return decode
