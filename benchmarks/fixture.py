"""Helpers of the gRPC benchmarks: the program in a process of its own in front of instances."""

from __future__ import annotations

import contextlib
import datetime
import ipaddress
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from pulleyroute.lab.demo import free_port

CONFIG = """
name = "bench"
listener "calls" {{
  protocol = "grpc"
  address  = "{address}"
{tls}{limits}
}}
pool "apps" {{
  protocol = "grpc"
  slots    = {slots}
  message  = "64MiB"
  attempts = {attempts}
{pool_tls}
{instances}}}
class "safe" {{
  effect  = "safe"
  aim     = "1s"
  give_up = "60s"
}}
class "unsafe" {{
  effect  = "unsafe"
  aim     = "1s"
  give_up = "60s"
}}
route "safe" {{
  service = "test.Safe"
  pool    = "apps"
  class   = "safe"
}}
route "unsafe" {{
  service = "test.Unsafe"
  pool    = "apps"
  class   = "unsafe"
}}
"""
LIMITS = '  limits {\n    message = "64MiB"\n    streams = 4000\n    calls = 100000\n  }\n'


@dataclass(slots=True)
class Files:
    """PEM files of a CA, and of a certificate and key for 127.0.0.1 that it signed."""

    ca: Path
    certificate: Path
    key: Path


def certificates(folder: Path, days: int = 2) -> Files:
    """Create a CA and a certificate, for tests and benchmarks only."""
    now = datetime.datetime.now(datetime.UTC)

    def name(text: str) -> x509.Name:
        return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])

    def build_certificate(
        subject: str,
        issuer: str,
        key: ec.EllipticCurvePrivateKey,
        signing_key: ec.EllipticCurvePrivateKey,
        ca: bool,
    ) -> x509.Certificate:
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        return (
            x509.CertificateBuilder()
            .subject_name(name(subject))
            .issuer_name(name(issuer))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([address, x509.DNSName("localhost")]), critical=False)
            .sign(signing_key, hashes.SHA256())
        )

    root, leaf = ec.generate_private_key(ec.SECP256R1()), ec.generate_private_key(ec.SECP256R1())
    files = Files(folder / "ca.pem", folder / "certificate.pem", folder / "key.pem")
    files.ca.write_bytes(
        build_certificate("test CA", "test CA", root, root, True).public_bytes(serialization.Encoding.PEM)
    )
    files.certificate.write_bytes(
        build_certificate("localhost", "test CA", leaf, root, False).public_bytes(serialization.Encoding.PEM)
    )
    files.key.write_bytes(
        leaf.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return files


def config_text(
    address: str, instances: dict[str, str], tls: Files | None = None, slots: int = 1000, attempts: int = 4
) -> str:
    """Return a configuration with these instances, given as names with addresses."""
    instance_blocks = "".join(
        f'  instance "{name}" {{\n    address = "{instance_address}"\n  }}\n'
        for name, instance_address in instances.items()
    )
    listener_tls = pool_tls = ""
    if tls is not None:
        listener_tls = f'  tls {{\n    certificate = "{tls.certificate}"\n    key = "{tls.key}"\n  }}\n'
        pool_tls = f'  tls {{\n    ca = "{tls.ca}"\n  }}\n'
    return CONFIG.format(
        address=address,
        instances=instance_blocks,
        tls=listener_tls,
        pool_tls=pool_tls,
        slots=slots,
        limits=LIMITS,
        attempts=attempts,
    )


@dataclass(slots=True)
class Program:
    """A running process of the program."""

    address: str
    process: subprocess.Popen[bytes]
    config: Path

    def cpu(self) -> float:
        """Return the seconds of CPU time that the process has used, from /proc."""
        return cpu_of(self.process.pid)

    def resident(self) -> int:
        """Return the resident memory in bytes."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError("no VmRSS")

    def hang_up(self) -> None:
        """Send SIGHUP, which reloads the configuration."""
        self.process.send_signal(signal.SIGHUP)


def cpu_of(pid: int) -> float:
    """Return the seconds of CPU time that a process has used, from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextmanager
def program(
    folder: Path,
    instances: dict[str, str],
    tls: Files | None = None,
    core: int | None = None,
    slots: int = 1000,
    attempts: int = 4,
) -> Iterator[Program]:
    """Start the program, wait until it listens, and kill it at the end; `core` pins it to one core."""
    address = f"127.0.0.1:{free_port()}"
    path = folder / f"bench-{address[-5:]}.hcl"
    path.write_text(config_text(address, instances, tls, slots, attempts))
    command = [
        sys.executable,
        "-m",
        "pulleyroute.cli",
        "serve",
        "--config",
        str(path),
        "--log-level",
        "error",
    ]
    process = subprocess.Popen(command, cwd=Path(__file__).parent.parent)
    if core is not None:
        os.sched_setaffinity(process.pid, {core})
    try:
        await_port(process, address)
        yield Program(address, process, path)
    finally:
        process.kill()
        process.wait()


def await_port(process: subprocess.Popen[bytes], address: str) -> None:
    """Wait until a process listens at an address. Raises RuntimeError after 30 s or when it has ended."""
    import socket

    host, port = address.rsplit(":", 1)
    end = time.monotonic() + 30
    while time.monotonic() < end and process.poll() is None:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1):
            return
        time.sleep(0.05)
    raise RuntimeError("the program did not start")


def channel(
    address: str, tls: Files | None = None, options: list[tuple[str, object]] | None = None
) -> grpc.Channel:
    """Open a channel without message limits and retries."""
    options = [
        ("grpc.max_receive_message_length", -1),
        ("grpc.max_send_message_length", -1),
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.enable_retries", 0),
        *(options or []),
    ]
    if tls is None:
        return grpc.insecure_channel(address, options)
    return grpc.secure_channel(address, grpc.ssl_channel_credentials(tls.ca.read_bytes()), options)


def machine() -> str:
    """Describe the machine: cores, processor, versions of Python and grpcio, but no host name."""
    model = next(
        (
            line.split(":", 1)[1].strip()
            for line in Path("/proc/cpuinfo").read_text().splitlines()
            if line.startswith("model name")
        ),
        "unknown processor",
    )
    return f"{os.cpu_count()} cores, {model}, Python {sys.version.split()[0]}, grpcio {grpc.__version__}"
