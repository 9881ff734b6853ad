"""TLS contexts, and TLS over memory BIOs: the caller does all socket I/O."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from pulleyroute.net.http import ConnectionFailed

ALPN_PROTOCOLS = ["h2"]
READ_BYTES = 64 * 1024  # of plaintext at a time


@dataclass(slots=True, frozen=True)
class CertificateFiles:
    """Paths of PEM files: the certificate chain and the key of a listener, and the CA of client certificates.

    Without `client_ca`, clients need no certificate.
    """

    certificate: str
    key: str
    client_ca: str = ""


def server_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return the context of a listener; raises ValueError with a one-line message if a file is unusable."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    try:
        context.load_cert_chain(files.certificate, files.key)
        if files.client_ca:
            context.load_verify_locations(files.client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as exc:
        raise ValueError(f"certificate {files.certificate} with key {files.key}: {exc}") from None
    return context


def client_context(ca: str) -> ssl.SSLContext:
    """Return the context of connections to instances with certificates signed by the CA in this PEM file.

    Without a path, the CAs of the system are trusted. Raises ValueError if the file is unusable.
    """
    try:
        context = ssl.create_default_context(cafile=ca or None)
    except (OSError, ssl.SSLError) as exc:
        raise ValueError(f"CA {ca}: {exc}") from None
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    return context


class Tls:
    """The TLS state of one connection. Owns its BIOs; the caller owns the socket.

    `name`: of the server, which a client sends as SNI and verifies in the certificate.
    """

    def __init__(self, context: ssl.SSLContext, server: bool, name: str | None = None) -> None:
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._object = context.wrap_bio(self._incoming, self._outgoing, server, name)
        self._pending: list[bytes] = []  # to be encrypted once the handshake is complete
        self.ready = False

    def start(self) -> None:
        """Start the handshake as the client: `take` then returns the ClientHello."""
        self._advance()

    def receive(self, data: bytes) -> bytes:
        """Decrypt bytes; raises ConnectionFailed if they are not TLS, or if ALPN did not select h2."""
        self._incoming.write(data)
        parts: list[bytes] = []
        try:
            if not self.ready and not self._advance():
                return b""
            while True:
                part = self._object.read(READ_BYTES)
                if not part:
                    break
                parts.append(part)
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLZeroReturnError:
            pass  # close_notify: the peer closes the connection next
        except ssl.SSLError as exc:
            raise ConnectionFailed(f"TLS: {exc.reason or exc}") from None
        return b"".join(parts)

    def send(self, data: bytes) -> None:
        """Encrypt data for the peer, or keep it until the handshake is complete."""
        if self.ready:
            self._object.write(data)
        else:
            self._pending.append(data)

    def take(self) -> bytes:
        """Return and remove the bytes to be sent to the peer."""
        return self._outgoing.read() if self._outgoing.pending else b""

    def _advance(self) -> bool:
        try:
            self._object.do_handshake()
        except ssl.SSLWantReadError:
            return False
        except ssl.SSLError as exc:
            raise ConnectionFailed(f"TLS: {exc.reason or exc}") from None
        if self._object.selected_alpn_protocol() != "h2":
            # A peer that agreed on another protocol would send bytes that are not HTTP/2 frames.
            raise ConnectionFailed("TLS: the peer did not agree on h2")
        self.ready = True
        for data in self._pending:
            self._object.write(data)
        self._pending.clear()
        return True
