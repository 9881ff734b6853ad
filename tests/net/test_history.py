"""Generated histories of events on sockets: whatever peers do, each request gets one answer in time."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.net.scene import MS, NACK, SECOND, TAKEN, Peer, Scene

ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(["/read", "/charge"]), st.integers(1, 5000)),
    st.tuples(
        st.just("answer"), st.integers(0, 9), st.sampled_from([TAKEN, TAKEN, NACK, ERROR, b"", b"junk"])
    ),
    st.tuples(
        st.just("call"),
        st.integers(0, 9),
        st.sampled_from(["started", "done", "done", "failed", "returned", "lost"]),
    ),
    st.tuples(st.just("leave"), st.integers(0, 9)),
    st.tuples(st.just("table"), st.integers(0, 2), st.sampled_from(["active", "leaving", "left"])),
    st.tuples(st.just("pass"), st.integers(1, 2000)),
)


class ReceivedRequest:
    """A request received by an instance, from the instance's point of view."""

    def __init__(self, peer, name, txn):
        self.peer, self.name, self.txn = peer, name, txn
        self.not_run = self.over = self.answered = self.deleted = False


class Referee:
    """Plays the clients and instances, and checks the rules that the dispatcher has to keep."""

    def __init__(self):
        self.scene = Scene(instances=3)
        self.clients, self.received, self.peers = {}, [], []
        self.request_count, self.revision = 0, 1

    def collect(self):
        """Run the loop, and read the requests that have arrived at the instances."""
        scene = self.scene
        for _ in range(6):
            scene.loop.turn(0)
        for name, runner in scene.runners.items():
            while True:
                try:
                    self.peers.append((name, Peer(scene.loop, runner.sock.accept()[0])))
                except BlockingIOError:
                    break
        for name, peer in self.peers:
            while b"\r\n\r\n" in peer.pull():
                head = peer.message()[0]
                if head.startswith(b"DELETE"):
                    txn = head.split()[1].rpartition(b"/")[2].decode()
                    for request in self.received:
                        request.deleted = request.deleted or (request.txn == txn and request.name == name)
                    peer.send(b"HTTP/1.1 204 Gone\r\n\r\n")
                    continue
                txn = next(line[7:] for line in head.decode().split("\r\n") if line.startswith("X-Txn: "))
                self.record_arrival(ReceivedRequest(peer, name, txn))

    def record_arrival(self, new):
        """Check that a request may arrive at this instance after its earlier attempts."""
        path = self.clients[new.txn][1]
        for old in (request for request in self.received if request.txn == new.txn):
            ended = old.over or old.deleted or old.peer.ended
            assert path == "/read" or old.not_run, "an unsafe request went out again"
            assert old.name != new.name or ended, "two attempts of a request at one instance"
        self.received.append(new)

    def check(self):
        """Check the answers that the clients have so far."""
        for txn, (peer, path, deadline, results) in self.clients.items():
            if peer is None:
                continue
            data = peer.pull()
            assert data.count(b"HTTP/1.1 ") <= 1, "two answers"
            if not data:
                assert self.scene.loop.time < deadline, "no answer in time"
                continue
            head, _, body = data.partition(b"\r\n\r\n")
            status = int(head.split()[1])
            assert status in (200, 502, 503)
            if status == 200:
                assert body in results
            if status == 503 and path == "/charge":
                assert all(
                    request.not_run for request in self.received if request.txn == txn
                ), "refused what may have run"

    def step(self, kind, *args):
        """Apply one event of a history, then check the rules."""
        scene = self.scene
        open_requests = [request for request in self.received if not request.over]
        if kind == "ask":
            self.request_count += 1
            txn = f"t{self.request_count}"
            peer = scene.ask(args[0], txn, args[1])
            self.clients[txn] = (peer, args[0], scene.loop.time + args[1] * MS, [])
        elif kind == "answer" and (waiting := [request for request in open_requests if not request.answered]):
            request = waiting[args[0] % len(waiting)]
            request.answered = True
            request.over = args[1] != TAKEN
            request.not_run = args[1] == NACK
            if not request.peer.ended:
                request.peer.send(args[1])
            if args[1] in (b"", b"junk"):
                request.peer.close()
                self.peers = [(n, p) for n, p in self.peers if p is not request.peer]
        elif kind == "call" and self.received:
            request = self.received[args[0] % len(self.received)]  # over or not, since callbacks may be stale
            if not request.over and args[1] != "started":
                request.over, request.not_run = True, args[1] == "returned"
            result = f"{request.name} {request.txn} {args[0]}"
            self.clients[request.txn][3].append(result.encode())
            assert b" 204 " in scene.call(
                **{"id": request.txn, "from": request.name, "state": args[1], "result": result}
            )
        elif kind == "leave" and self.clients:
            txn = list(self.clients)[args[0] % len(self.clients)]
            if self.clients[txn][0] is not None:
                self.clients[txn][0].close()
                self.clients[txn] = (None, *self.clients[txn][1:])
        elif kind == "table":
            self.revision += 1
            table = scene.table(f"s-{args[0]}", phase=args[1], complete=False, revision=self.revision)
            scene.discovery.on_update(scene.discovery.list.apply(table, cached=False))
        elif kind == "pass":
            for _ in range(0, args[0], 50):
                scene.loop.skip(50 * MS)
                self.collect()
        self.collect()
        self.check()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=25))
def test_the_rules_hold_over_any_history(steps):
    referee = Referee()
    for step in steps:
        referee.step(*step)
    referee.step("pass", 6 * SECOND // MS)
    assert (
        not referee.scene.host.open_requests
        and not referee.scene.loop.errors
        and not referee.scene.host.faults
    )
    for sock in (
        referee.scene.discovery_peer.sock,
        referee.scene.clients.listener.sock,
        *(r.sock for r in referee.scene.runners.values()),
        *(p.sock for _, p in referee.peers),
    ):
        sock.close()
