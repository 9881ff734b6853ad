"""The rules on sockets over scripted histories: whatever peers do, each request has one answer in time."""

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


class Sent:
    """A request that arrived at an instance, as the instance sees it."""

    def __init__(self, peer, name, txn):
        self.peer, self.name, self.txn = peer, name, txn
        self.unrun = self.over = self.answered = self.deleted = False


class Referee:
    """Plays the peers and holds the dispatcher to the rules."""

    def __init__(self):
        self.scene = Scene(instances=3)
        self.clients, self.sent, self.peers = {}, [], []
        self.asked, self.revision = 0, 1

    def look(self):
        """Take in what has come to the instances and the clients."""
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
                    for s in self.sent:
                        s.deleted = s.deleted or (s.txn == txn and s.name == name)
                    peer.send(b"HTTP/1.1 204 Gone\r\n\r\n")
                    continue
                txn = next(line[7:] for line in head.decode().split("\r\n") if line.startswith("X-Txn: "))
                self.arrived(Sent(peer, name, txn))

    def arrived(self, new):
        path = self.clients[new.txn][1]
        for old in (s for s in self.sent if s.txn == new.txn):
            ended = old.over or old.deleted or old.peer.ended
            assert path == "/read" or old.unrun, "an unsafe request went out again"
            assert old.name != new.name or ended, "two attempts of a request at one instance"
        self.sent.append(new)

    def check(self):
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
                assert all(s.unrun for s in self.sent if s.txn == txn), "refused what may have run"

    def step(self, kind, *what):
        scene = self.scene
        open_now = [s for s in self.sent if not s.over]
        if kind == "ask":
            self.asked += 1
            txn = f"t{self.asked}"
            peer = scene.ask(what[0], txn, what[1])
            self.clients[txn] = (peer, what[0], scene.loop.time + what[1] * MS, [])
        elif kind == "answer" and (waiting := [s for s in open_now if not s.answered]):
            s = waiting[what[0] % len(waiting)]
            s.answered = True
            s.over = what[1] != TAKEN
            s.unrun = what[1] == NACK
            if not s.peer.ended:
                s.peer.send(what[1])
            if what[1] in (b"", b"junk"):
                s.peer.close()
                self.peers = [(n, p) for n, p in self.peers if p is not s.peer]
        elif kind == "call" and self.sent:
            s = self.sent[what[0] % len(self.sent)]  # over or not: calls may be stale
            if not s.over and what[1] != "started":
                s.over, s.unrun = True, what[1] == "returned"
            result = f"{s.name} {s.txn} {what[0]}"
            self.clients[s.txn][3].append(result.encode())
            assert b" 204 " in scene.call(**{"id": s.txn, "from": s.name, "state": what[1], "result": result})
        elif kind == "leave" and self.clients:
            txn = list(self.clients)[what[0] % len(self.clients)]
            if self.clients[txn][0] is not None:
                self.clients[txn][0].close()
                self.clients[txn] = (None, *self.clients[txn][1:])
        elif kind == "table":
            self.revision += 1
            table = scene.table(f"s-{what[0]}", phase=what[1], complete=False, revision=self.revision)
            scene.discovery.on_update(scene.discovery.list.apply(table, cached=False))
        elif kind == "pass":
            for _ in range(0, what[0], 50):
                scene.loop.skip(50 * MS)
                self.look()
        self.look()
        self.check()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=25))
def test_the_rules_hold_over_any_history(steps):
    referee = Referee()
    for step in steps:
        referee.step(*step)
    referee.step("pass", 6 * SECOND // MS)
    assert not referee.scene.host.open and not referee.scene.loop.errors and not referee.scene.host.faults
    for sock in (
        referee.scene.discovery_peer.sock,
        referee.scene.clients.listener.sock,
        *(r.sock for r in referee.scene.runners.values()),
        *(p.sock for _, p in referee.peers),
    ):
        sock.close()
