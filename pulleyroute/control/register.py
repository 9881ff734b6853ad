"""The register that the chain replicates: the configuration in force, and the orders that were taken. Pure.

An order is identified by its content: the digest of the version it builds on and of its document. The
digests of the orders taken are part of the register, so that every member knows an order that is sent
again.
"""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b

import msgspec

from pulleyroute.control.configuration import read_configuration

DIGEST_BYTES = 16
MAX_DIGESTS = 1024  # of the newest orders


class Verdict(Enum):
    """What becomes of an order, as a status of HTTP."""

    TAKEN = 200
    INVALID = 400
    STALE = 412


class Register(msgspec.Struct, frozen=True):
    """The replicated state. `sequence` goes up by one with each change; version 0: no configuration yet."""

    sequence: int = 0
    version: int = 0
    document: str = ""
    digests: tuple[str, ...] = ()


class Order(msgspec.Struct, frozen=True):
    """An order to replace the configuration of version `base` by a document with a `version` of its own."""

    base: int
    version: int
    document: str

    @property
    def digest(self) -> str:
        """The identity of the order by its content."""
        text = f"{self.base}\n{self.document}".encode()
        return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def read_order(base: int, document: str) -> Order:
    """Return the order with this document; raises InvalidConfiguration."""
    return Order(base, read_configuration(document)["version"], document)


def judge(register: Register, order: Order) -> Verdict | None:
    """Return the verdict on an order; None if it has to be taken now.

    An order that was taken before is never refused, whatever has been taken since.
    """
    if order.digest in register.digests:
        return Verdict.TAKEN
    if order.base != register.version:
        return Verdict.STALE
    if order.version <= register.version:
        return Verdict.INVALID
    return None


def take(register: Register, order: Order) -> Register:
    """Return the register after an order for which `judge` returned None."""
    digests = (*register.digests, order.digest)[-MAX_DIGESTS:]
    return Register(register.sequence + 1, order.version, order.document, digests)
