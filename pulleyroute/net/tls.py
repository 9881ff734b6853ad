"""TLS over memory BIOs: bytes in, bytes out, no socket in sight. Contexts are made here."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from pulleyroute.net.http import Broken

ALPN = ["h2"]
CHUNK = 64 * 1024


@dataclass(slots=True, frozen=True)
class CertificateFiles:
    """Where a listener's certificate chain and key are, both PEM; `client_ca`: the CA of clients'
    certificates."""

    certificate: str
    key: str
    client_ca: str = ""


def server_context(files: CertificateFiles) -> ssl.SSLContext:
    """A context for a listener; raises ValueError with one plain line if the files can't be used."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN)
    try:
        context.load_cert_chain(files.certificate, files.key)
        if files.client_ca:
            context.load_verify_locations(files.client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as exc:
        raise ValueError(f"certificate {files.certificate} with key {files.key}: {exc}") from None
    return context


def client_context(ca: str) -> ssl.SSLContext:
    """A context for connections to instances whose certificates the CA in this PEM file has signed."""
    try:
        context = ssl.create_default_context(cafile=ca or None)
    except (OSError, ssl.SSLError) as exc:
        raise ValueError(f"CA {ca}: {exc}") from None
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN)
    return context


class Tls:
    """One connection's TLS state. Owns its BIOs; the socket is its user's."""

    def __init__(self, context: ssl.SSLContext, server: bool, name: str | None = None) -> None:
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._object = context.wrap_bio(self._incoming, self._outgoing, server, name)
        self._waiting: list[bytes] = []  # to be sent once the handshake is over
        self.ready = False

    def start(self) -> None:
        """A client speaks first."""
        self._advance()

    def receive(self, data: bytes) -> bytes:
        """What the peer sent, decrypted as far as it goes; raises Broken if it is not TLS as agreed."""
        self._incoming.write(data)
        parts: list[bytes] = []
        try:
            if not self.ready and not self._advance():
                return b""
            while True:
                part = self._object.read(CHUNK)
                if not part:
                    break
                parts.append(part)
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLZeroReturnError:
            pass  # the end of the connection itself follows
        except ssl.SSLError as exc:
            raise Broken(f"TLS: {exc.reason or exc}") from None
        return b"".join(parts)

    def send(self, data: bytes) -> None:
        """Encrypt, or keep until the handshake is over."""
        if self.ready:
            self._object.write(data)
        else:
            self._waiting.append(data)

    def take(self) -> bytes:
        """What is to go to the peer."""
        return self._outgoing.read() if self._outgoing.pending else b""

    def _advance(self) -> bool:
        try:
            self._object.do_handshake()
        except ssl.SSLWantReadError:
            return False
        except ssl.SSLError as exc:
            raise Broken(f"TLS: {exc.reason or exc}") from None
        if self._object.selected_alpn_protocol() != "h2":
            # Guards against a peer that speaks something else on the same port and would be misread.
            raise Broken("TLS: the peer did not agree on h2")
        self.ready = True
        for data in self._waiting:
            self._object.write(data)
        self._waiting.clear()
        return True
