"""Opens connections to replicas ahead of requests, at a limited rate.

The load it answers: restarts of one instance after the other or of a whole
fleet. If each instance connected to every replica at once, replicas would reach
their connection limits and refuse connections of instances that serve requests.
Connections that requests wait for are opened at once and do not count.
"""

import asyncio
import random
from typing import Protocol

# Until the hubs are known, an instance does not know whether it will gather
# answers at all.
_INITIAL_RATE_PER_S = 20.0
_RATE_PER_S = 250.0
_INTERVAL_S = 0.02


class Pool(Protocol):
    """The part of a connection pool that is used here."""

    def keep_open(self) -> None:
        """Keeps at least one connection open."""

    def stop_keeping_open(self) -> None:
        """Reverts `keep_open`."""


class Warmer:
    """Tells pools to keep a connection open, a limited number per second."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rate_per_s = _INITIAL_RATE_PER_S
        self._waiting: list[Pool] = []
        self._kept: set[Pool] = set()
        # Pools for which connections may be opened now.
        self._allowance = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def set_hubs_known(self) -> None:
        """Raises the rate, because connections on demand are known as such."""
        self._rate_per_s = _RATE_PER_S

    def keep_open(self, pool: Pool) -> None:
        """Makes the pool keep a connection open, when its turn has come."""
        if pool in self._kept:
            return
        self._kept.add(pool)
        self._waiting.append(pool)
        self._schedule()

    def keeps_open(self, pool: Pool) -> bool:
        """Whether a connection of the pool is to be kept open."""
        return pool in self._kept

    def stop_keeping_open(self, pool: Pool) -> None:
        """Reverts `keep_open`."""
        self._kept.discard(pool)
        if pool in self._waiting:
            self._waiting.remove(pool)
        pool.stop_keeping_open()

    def close(self) -> None:
        """Opens no further connections."""
        self._waiting.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._allowance += self._rate_per_s * _INTERVAL_S
        while self._waiting and self._allowance >= 1:
            self._allowance -= 1
            # A random order spreads the instances over the replicas.
            index = self._rng.randrange(len(self._waiting))
            self._waiting[index], self._waiting[-1] = (
                self._waiting[-1],
                self._waiting[index],
            )
            self._waiting.pop().keep_open()
        if not self._waiting:
            self._allowance = 0.0
        self._schedule()
