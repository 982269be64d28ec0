"""Turns in which refused callers return, at the rate of what limits them."""

MAX_DELAY_S = 3.0


class ReturnTurns:
    """Gives each refused caller a turn after the one before it.

    Each queue has turns of its own, so that the callers of urgent requests do
    not return behind the others.
    """

    def __init__(self) -> None:
        """Start without refused callers."""
        self._last_turn_at: dict[tuple[str, int], float] = {}

    def next_delay_s(
        self, queue: tuple[str, int], per_s: float, now: float
    ) -> float:
        """Return after which time the next caller may return.

        Once the turns are further ahead than MAX_DELAY_S, callers are told
        that delay: they would give up before a later turn.

        Args:
            queue: Service and priority of the request.
            per_s: The rate at which callers can be served.
            now: The time on the event loop's clock.
        """
        interval_s = min(1 / per_s, MAX_DELAY_S) if per_s else MAX_DELAY_S
        previous_at = max(self._last_turn_at.get(queue, now), now)
        turn_at = min(previous_at + interval_s, now + MAX_DELAY_S)
        self._last_turn_at[queue] = turn_at
        return turn_at - now
