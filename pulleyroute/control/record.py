"""What a member keeps on its disk, as one record that is stored whole.

A record is stored before anything that depends on it is sent: the driver of a member stores the record of a
step, and only then sends the step's messages and answers.
"""

from __future__ import annotations

import msgspec

from pulleyroute.control.messages import Ballot
from pulleyroute.control.register import Register
from pulleyroute.control.view import View, genesis


class Record(msgspec.Struct, frozen=True):
    """The durable state of a member.

    `born_with_system`: the data folder was made at the first start of the whole system, which alone gives a
    vote in view 0. `promised`, `accepted_ballot` and `accepted_view` belong to the choice of the view after
    `view`; while a promise stands, the member stores and acknowledges no change in `view`. `installed`: the
    newest view whose chain this member was part of and whose state it has stored; `register` is that state.
    """

    incarnation: str
    born_with_system: bool
    seeds: tuple[str, ...]
    view: View
    promised: Ballot | None = None
    accepted_ballot: Ballot | None = None
    accepted_view: View | None = None
    installed: int = 0
    copied: int = 0
    register: Register = Register()

    @property
    def sealed(self) -> bool:
        """Whether the member has promised to take part in no change of its view any more."""
        return self.promised is not None

    def adopt(self, view: View) -> Record:
        """Return the record after a newer view was learnt."""
        adopted = msgspec.structs.replace(
            self, view=view, promised=None, accepted_ballot=None, accepted_view=None
        )
        if view.head == self.incarnation:  # its state at its promise is the state that the view starts from
            return msgspec.structs.replace(adopted, installed=view.number)
        return adopted

    def install(self, view: int, register: Register) -> Record:
        """Return the record with the register of a view's chain."""
        return msgspec.structs.replace(self, installed=view, register=register)


def first_record(incarnation: str, born_with_system: bool, seeds: tuple[str, ...]) -> Record:
    """Return the record of a new data folder."""
    return Record(incarnation, born_with_system, seeds, genesis(seeds))
