"""Results of one query on one index version, by shard."""

from collections.abc import Iterable
import enum

import msgspec

from mallowloft import messages
from mallowloft.gather import model


class LackingReason(enum.StrEnum):
    """Why a shard is not covered.

    The outcome of a failed attempt is also used as a reason.
    """

    DEADLINE = "deadline"
    # The run ended before its deadline and before the shard was settled.
    GIVEN_UP = "given_up"
    INVALID_ROWS = "invalid_rows"
    NO_DISPATCHER = "no_dispatcher"
    NO_REPLICA = "no_replica"
    NO_SHARD_MAP = "no_shard_map"
    STRAGGLER = "straggler"


def _is_json(content: bytes) -> bool:
    try:
        msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return True


class Merge:
    """Collects at most one result per shard, from one index version only.

    Attributes:
        version: The pinned version.
        results: JSON by covered shard.
        lacking: Reason by shard that is given up, disjoint from `results`.
    """

    def __init__(self, version: int, shards: Iterable[model.Shard]) -> None:
        self.version = version
        self.results: dict[model.Shard, bytes] = {}
        self.lacking: dict[model.Shard, str] = {}
        # A dict preserves the order, which makes runs reproducible.
        self._open = dict.fromkeys(shards)
        self._total = len(self._open)

    @property
    def total(self) -> int:
        """Number of shards of the query."""
        return self._total

    @property
    def open_shards(self) -> list[model.Shard]:
        """Shards that are neither covered nor given up."""
        return list(self._open)

    @property
    def settled(self) -> bool:
        """Whether every shard is covered or given up."""
        return not self._open

    @property
    def max_coverage(self) -> float:
        """Coverage that is reached if every open shard is covered."""
        if not self._total:
            return 0.0
        return 1 - len(self.lacking) / self._total

    def is_open(self, shard: model.Shard) -> bool:
        """Whether a shard is neither covered nor given up."""
        return shard in self._open

    def accept(
        self, reply: messages.SubReply, requested: Iterable[model.Shard]
    ) -> list[model.Shard]:
        """Adds the results of a successful reply.

        A reply that is for another version or has results of shards that were
        not requested may belong to another request, so none of its results is
        used.

        Returns:
            The requested shards for which the reply has no valid result.
        """
        requested = tuple(requested)
        names = {shard.name for shard in requested}
        if reply.index_version != self.version or reply.results.keys() - names:
            return list(requested)
        unanswered = []
        for shard in requested:
            content = reply.results.get(shard.name)
            if content is None or not _is_json(content):
                unanswered.append(shard)
            elif shard in self._open:
                del self._open[shard]
                self.results[shard] = content
        return unanswered

    def give_up(self, shard: model.Shard, reason: str) -> None:
        """Marks an open shard as lacking."""
        if shard in self._open:
            del self._open[shard]
            self.lacking[shard] = reason
