"""The control side of the system: agreed views of the core members, and the configuration that they keep.

`member.py` joins the parts of one member. Every part is a state machine without I/O, clock or randomness of
its own: it is given events and times, and returns what to store, what to send and what to answer.
"""
