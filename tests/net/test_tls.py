"""TLS without a socket: which peers are accepted, and how other protocols and certificates are rejected."""

import ssl

import pytest

from benchmarks.fixture import certificates
from pulleyroute.net.http import ConnectionFailed
from pulleyroute.net.tls import CertificateFiles, Tls, client_context, server_context


def handshake(client, server):
    """Exchange bytes until neither side has more to send; returns the plaintext that was received."""
    client.start()
    received = b""
    for _ in range(10):
        received += server.receive(client.take())
        answer = server.take()
        if answer:
            received += client.receive(answer)
    return received


@pytest.fixture
def files(tmp_path):
    return certificates(tmp_path)


def pair(files, client_ca="", present_certificate=False):
    server = server_context(CertificateFiles(str(files.certificate), str(files.key), client_ca))
    client = client_context(str(files.ca))
    if present_certificate:
        client.load_cert_chain(files.certificate, files.key)
    return Tls(client, False, "127.0.0.1"), Tls(server, True)


def test_what_is_sent_before_the_handshake_arrives_after_it(files):
    client, server = pair(files)
    client.send(b"hello")
    assert handshake(client, server) == b"hello" and client.ready and server.ready
    server.send(b"x" * 100_000)
    assert client.receive(server.take()) == b"x" * 100_000


def test_where_clients_need_a_certificate_only_those_with_one_are_accepted(files):
    client, server = pair(files, str(files.ca), present_certificate=True)
    handshake(client, server)
    assert client.ready and server.ready
    client, server = pair(files, str(files.ca))
    with pytest.raises(ConnectionFailed):
        handshake(client, server)
    assert not server.ready


def test_a_server_certificate_of_another_ca_or_name_is_rejected(files, tmp_path):
    (tmp_path / "other").mkdir()
    other = certificates(tmp_path / "other")
    client, server = Tls(client_context(str(other.ca)), False, "127.0.0.1"), pair(files)[1]
    with pytest.raises(ConnectionFailed):
        handshake(client, server)
    wrong, server = Tls(client_context(str(files.ca)), False, "elsewhere.example"), pair(files)[1]
    with pytest.raises(ConnectionFailed):
        handshake(wrong, server)


def test_a_peer_that_speaks_no_h2_or_no_tls_is_rejected(files):
    context = ssl.create_default_context(cafile=str(files.ca))
    context.set_alpn_protocols(["http/1.1"])
    with pytest.raises(ConnectionFailed, match="h2"):
        handshake(Tls(context, False, "127.0.0.1"), pair(files)[1])
    with pytest.raises(ConnectionFailed):
        pair(files)[1].receive(b"GET / HTTP/1.1\r\n\r\n")


def test_unusable_files_are_an_error_of_one_line(files, tmp_path):
    with pytest.raises(ValueError, match="no.pem"):
        server_context(CertificateFiles(str(tmp_path / "no.pem"), str(files.key)))
    with pytest.raises(ValueError):
        client_context(str(files.key))
