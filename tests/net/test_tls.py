"""TLS without a socket: who is let in, and what a peer that is something else gets."""

import ssl

import pytest

from benchmarks.fixture import certificates
from pulleyroute.net.http import Broken
from pulleyroute.net.tls import CertificateFiles, Tls, client_context, server_context


def shake(client, server):
    """Pass bytes to and fro until neither has more to say."""
    client.start()
    said = b""
    for _ in range(10):
        said += server.receive(client.take())
        back = server.take()
        if back:
            said += client.receive(back)
    return said


@pytest.fixture
def files(tmp_path):
    return certificates(tmp_path)


def pair(files, clients="", show=False):
    server = server_context(CertificateFiles(str(files.certificate), str(files.key), clients))
    client = client_context(str(files.ca))
    if show:
        client.load_cert_chain(files.certificate, files.key)
    return Tls(client, False, "127.0.0.1"), Tls(server, True)


def test_what_is_sent_before_the_handshake_arrives_after_it(files):
    client, server = pair(files)
    client.send(b"hello")
    assert shake(client, server) == b"hello" and client.ready and server.ready
    server.send(b"x" * 100_000)
    assert client.receive(server.take()) == b"x" * 100_000


def test_where_clients_must_show_a_certificate_only_those_who_do_get_in(files):
    client, server = pair(files, str(files.ca), show=True)
    shake(client, server)
    assert client.ready and server.ready
    client, server = pair(files, str(files.ca))
    with pytest.raises(Broken):
        shake(client, server)
    assert not server.ready


def test_a_server_that_another_ca_has_signed_is_not_believed(files, tmp_path):
    (tmp_path / "other").mkdir()
    other = certificates(tmp_path / "other")
    client, server = Tls(client_context(str(other.ca)), False, "127.0.0.1"), pair(files)[1]
    with pytest.raises(Broken):
        shake(client, server)
    wrong, server = Tls(client_context(str(files.ca)), False, "elsewhere.example"), pair(files)[1]
    with pytest.raises(Broken):
        shake(wrong, server)


def test_a_peer_that_speaks_no_h2_or_no_tls_is_let_go(files):
    context = ssl.create_default_context(cafile=str(files.ca))
    context.set_alpn_protocols(["http/1.1"])
    with pytest.raises(Broken, match="h2"):
        shake(Tls(context, False, "127.0.0.1"), pair(files)[1])
    with pytest.raises(Broken):
        pair(files)[1].receive(b"GET / HTTP/1.1\r\n\r\n")


def test_files_that_can_t_be_used_are_one_line(files, tmp_path):
    with pytest.raises(ValueError, match="no.pem"):
        server_context(CertificateFiles(str(tmp_path / "no.pem"), str(files.key)))
    with pytest.raises(ValueError):
        client_context(str(files.key))
