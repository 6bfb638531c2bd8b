"""Checks of one type against golden bytes."""

import json
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

from tests.forms.form import differences, form_of, plain

__all__ = ["DATA", "GoldenCase", "load"]

DATA = Path(__file__).parent / "data"

Decode = Callable[[bytes], msgspec.Struct]
Encode = Callable[[msgspec.Struct], bytes]


def load(name: str) -> Any:
    """Return a golden file's contents."""
    return json.loads((DATA / name).read_text())


class GoldenCase(unittest.TestCase):
    """Holds types against what is written of them in a golden file."""

    def hold(self, kind: Any, golden: Any, decode: Decode, encode: Encode) -> None:
        """Hold one type: its form, and what golden bytes mean and become."""
        self.assertEqual(differences(golden["form"], form_of(inspect.type_info(kind))), [])
        for sample in golden["samples"]:
            self.hold_bytes(sample["bytes"], sample["value"], sample["bytes"], decode, encode)
        if "less" in golden:  # from a peer that leaves out what has a default
            less = golden["less"]
            self.hold_bytes(less["received"], less["value"], less["bytes"], decode, encode)
        if "more" in golden:  # from a peer of a later version, that says something unknown
            first = golden["samples"][0]
            self.hold_bytes(golden["more"], first["value"], first["bytes"], decode, encode)

    def hold_bytes(
        self, received: str, value: Any, sent: str, decode: Decode, encode: Encode
    ) -> None:
        """Hold that bytes are understood as a value, and that the value becomes bytes."""
        decoded = decode(bytes.fromhex(received))
        self.assertEqual(plain(decoded), value)
        self.assertEqual(encode(decoded).hex(), sent)

    def hold_union(self, union: Any, golden: dict[str, Any]) -> None:
        """Hold all structs of a union, which are told apart by their tags."""
        kinds = {str(kind.__struct_config__.tag): kind for kind in union.__args__}
        self.assertEqual(sorted(kinds), sorted(golden), "each tag needs golden samples")
        for tag, kind in kinds.items():
            with self.subTest(tag):
                self.hold(kind, golden[tag], decoder(union), msgspec.msgpack.encode)


def decoder(kind: Any) -> Decode:
    """Return a function that decodes a type as the code does."""
    decode: Decode = msgspec.msgpack.Decoder(kind).decode
    return decode
