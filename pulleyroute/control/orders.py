"""The head's work on orders: one change at a time, judged by content, taken, replicated, confirmed. Pure.

The next order is judged once the one before is on all disks of the chain, so that a verdict never rests on a
change that may still be lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pulleyroute.control.register import Order, Register, Verdict, judge, take

MAX_WAITING_ORDERS = 32
ORDER_PATIENCE_US = 2_000_000  # for an order to be judged

Answer = Callable[
    [Verdict | None, int], None
]  # the verdict, None for no clear answer, and the version in force


@dataclass(slots=True)
class WaitingOrder:
    """An order that waits for its turn; `until` in microseconds."""

    order: Order
    answer: Answer
    until: int


class HeadOrders:
    """Owns the orders that wait at the head of a view, and the one under way."""

    def __init__(self) -> None:
        self._waiting: deque[WaitingOrder] = deque()
        self._under_way: WaitingOrder | None = None
        self.replicated = -1  # the sequence up to which the whole chain of this view has stored the register

    def clear(self) -> None:
        """Give all orders no clear answer, as after a change of the view."""
        unanswered = [*self._waiting] + ([self._under_way] if self._under_way else [])
        self._waiting.clear()
        self._under_way = None
        self.replicated = -1
        for each in unanswered:
            each.answer(None, 0)

    def add(self, order: Order, answer: Answer, now: int) -> None:
        """Let an order wait for its turn; one too many gets no clear answer at once."""
        if len(self._waiting) >= MAX_WAITING_ORDERS:
            answer(None, 0)
            return
        self._waiting.append(WaitingOrder(order, answer, now + ORDER_PATIENCE_US))

    def expire(self, now: int) -> None:
        """Give the orders that have waited too long no clear answer; the one under way stays taken."""
        while self._waiting and self._waiting[0].until <= now:
            self._waiting.popleft().answer(None, 0)

    def stored_by_all(self, register: Register) -> None:
        """Note that the whole chain has stored a register; the order that it came from is acknowledged."""
        self.replicated = register.sequence
        done, self._under_way = self._under_way, None
        if done is not None:
            done.answer(Verdict.TAKEN, register.version)

    def next_register(self, register: Register) -> Register | None:
        """Judge the orders whose turn it is; return the register after one that is taken, None for none."""
        while self._waiting and self.replicated == register.sequence:
            each = self._waiting.popleft()
            verdict = judge(register, each.order)
            if verdict is None:
                self._under_way = each
                return take(register, each.order)
            each.answer(verdict, register.version)
        return None
