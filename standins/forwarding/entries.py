"""Keys and values in the store, for tests that write it without a platform."""

from collections.abc import Callable
from typing import Any

import orjson

__all__ = [
    "CONFIGURATION_KEY",
    "ODD_ENTRIES",
    "describe_endpoint",
    "is_leaving_entry",
    "make_adapter_version",
    "make_endpoint_key",
]

CONFIGURATION_KEY = "op/config"
LEAVING = "draining"
HUGE = str(10**400)
BIG = str(2**70)


def _set_number(name: str, number: str) -> Callable[[bytes], bytes]:
    """Return a function that puts digits in the place of an entry's field."""

    def change(entry: bytes) -> bytes:
        fields = orjson.loads(entry)
        fields.pop(name)
        return f'{{"{name}":{number},'.encode() + orjson.dumps(fields)[1:]

    return change


def _change(**changes: Any) -> Callable[[bytes], bytes]:
    """Return a function that changes fields of an entry."""
    return lambda entry: orjson.dumps(orjson.loads(entry) | changes)


def _replace(value: bytes) -> Callable[[bytes], bytes]:
    return lambda entry: value


# What another writer may leave in the place of an endpoint's entry, by kind;
# each is a function of the entry. "m1" in a kind asks for that of an engine.
ODD_ENTRIES: dict[str, Callable[[bytes], bytes]] = {
    "no json": _replace(b"\xff\x00\x17"),
    "empty": _replace(b""),
    "nested brackets": _replace(b"[" * 5000),
    "nested in a field": _replace(b'{"note":' + b"[" * 1500),
    "nested objects": _replace(b'{"a":' * 3000),
    "nested and whole": lambda entry: (
        b'{"note":' + b"[" * 2000 + b"]" * 2000 + b"," + entry[1:]
    ),
    "port 65536": _change(address="127.0.0.1:65536"),
    "port 99999": _change(address="127.0.0.1:99999"),
    "port 70000 m1": _change(address="127.0.0.1:70000"),
    "port 0": _change(address="127.0.0.1:0"),
    "address": _change(address="999.999.1.1:80"),
    "sequence of 70 bits m1": _set_number("sequence", BIG),
    "huge sequence m1": _set_number("sequence", HUGE),
    "born of 70 bits m1": _set_number("born", BIG),
    "huge born m1": _set_number("born", HUGE),
    "model version of 70 bits m1": lambda entry: entry.replace(
        b'"name":"m1","version":1', b'"name":"m1","version":' + BIG.encode()
    ),
    "huge model version m1": lambda entry: entry.replace(
        b'"name":"m1","version":1', b'"name":"m1","version":' + HUGE.encode()
    ),
    "huge slots": _set_number("slots", HUGE),
    "long version": _change(version="v" * 500_000),
    "long version m1": _change(version="v" * 500_000),
    "long zone": _change(zone="z" * 500_000),
    "state": _change(state="sleeping"),
    "list of fields": _replace(b"[]"),
    "numbers as text": _change(slots="8", sequence="1"),
}


def make_endpoint_key(id: str) -> str:
    """Return the key of an endpoint's entry."""
    return f"servers/{id}"


def describe_endpoint(leaving: bool, refreshes: int) -> dict[str, Any]:
    """Return an endpoint's entry, which differs with each refresh."""
    return {
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 8,
        "state": LEAVING if leaving else "ready",
        "version": "1",
        "cold_remaining_ms": refreshes,
        "sequence": 0,
    }


def is_leaving_entry(value: bytes) -> bool:
    """Return whether an entry says that its endpoint leaves."""
    return LEAVING.encode() in value


def make_adapter_version(version: int) -> tuple[str, dict[str, Any]]:
    """Return the key and the value of an adapter's version."""
    value = {"model": "m1", "adapter": "a1", "version": version}
    return "op/version/m1.a1", value
