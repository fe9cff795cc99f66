"""Which requests explain the crashes of replicas.

A replica that ends cuts off all requests that it runs, most of which are
harmless. The request under which most replicas ended explains these crashes,
and the others are judged by the crashes that it does not explain.
"""

from collections.abc import Mapping
import dataclasses
import heapq
import math

# Replicas that must have ended under a request, and how many of these crashes
# must have followed one another. Replicas that fail together for a reason of
# their own cut off the same requests at the same time.
MIN_CRASHES = 3
_MIN_SEQUENCE = 2
# Requests that are always cut off together are all blamed after more crashes.
MAX_AMBIGUOUS_SEQUENCE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run of a request that the end of its replica cut off.

    Attributes:
        started_s: Loop time at which the attempt was started.
        ended_s: Loop time at which the replica ended.
    """

    started_s: float
    ended_s: float


def select_sequence(run_by_replica: Mapping[str, Run]) -> list[str]:
    """Returns the replicas of as many runs as possible of which none overlap.

    They are sorted by the end of the run.
    """
    replicas = []
    ended_s = -math.inf
    for replica, run in sorted(
        run_by_replica.items(), key=lambda item: (item[1].ended_s, item[0])
    ):
        if run.started_s >= ended_s:
            replicas.append(replica)
            ended_s = run.ended_s
    return replicas


def find_causes(
    runs_by_request: Mapping[str, Mapping[str, Run]], settled_s: float
) -> set[str]:
    """Returns the requests that explain the crashes.

    Args:
        runs_by_request: For each request, its runs by replica.
        settled_s: Loop time after which crashes do not count yet.
    """
    left_by_request: dict[str, dict[str, Run]] = {}
    for request, runs in runs_by_request.items():
        if len(runs) < MIN_CRASHES:
            continue
        left_by_request[request] = {
            replica: run
            for replica, run in runs.items()
            if run.ended_s <= settled_s
        }
    requests_by_replica: dict[str, list[str]] = {}
    for request, runs in left_by_request.items():
        for replica in runs:
            requests_by_replica.setdefault(replica, []).append(request)
    queue = [(-len(runs), request) for request, runs in left_by_request.items()]
    heapq.heapify(queue)
    causes: set[str] = set()
    while queue:
        count, request = heapq.heappop(queue)
        runs = left_by_request[request]
        if len(runs) < -count:
            heapq.heappush(queue, (-len(runs), request))
            continue
        if len(runs) < MIN_CRASHES:
            break
        del left_by_request[request]
        sequence = len(select_sequence(runs))
        if sequence < _MIN_SEQUENCE:
            continue
        rivals = [
            other
            for other in requests_by_replica[next(iter(runs))]
            if other in left_by_request
            and left_by_request[other].keys() == runs.keys()
        ]
        if not rivals or sequence >= MAX_AMBIGUOUS_SEQUENCE:
            causes.update((request, *rivals))
        for replica in runs:
            for other in requests_by_replica[replica]:
                if other in left_by_request:
                    left_by_request[other].pop(replica, None)
    return causes
