"""What one instance believes of the others."""

from collections.abc import Callable
import dataclasses

from mallowloft.membership import rendezvous

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance as this instance sees it."""

    instance: str
    failure_domain: str
    address: str
    incarnation: int
    state: str


class View:
    """Members and the dispatcher of each replica.

    The choice of a dispatcher shifts traffic; no safety rests on it.
    """

    def __init__(self) -> None:
        self.members_by_id: dict[str, Member] = {}
        self._listeners: list[Callable[[], None]] = []
        self._dispatcher_by_replica: dict[tuple[str, str], str | None] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when the view changes."""
        self._listeners.append(listener)

    def put(self, member: Member) -> None:
        """Adds or replaces a member."""
        if self.members_by_id.get(member.instance) == member:
            return
        self.members_by_id[member.instance] = member
        self._changed()

    def remove(self, instance: str) -> None:
        """Removes a member."""
        if self.members_by_id.pop(instance, None) is not None:
            self._changed()

    def set_state(self, instance: str, state: str) -> None:
        """Changes the state of a member that is known."""
        member = self.members_by_id.get(instance)
        if member is not None:
            self.put(dataclasses.replace(member, state=state))

    def live(self, failure_domain: str | None = None) -> list[str]:
        """Returns live members, of one failure domain or of all."""
        return [
            member.instance
            for member in self.members_by_id.values()
            if member.state == LIVE
            and failure_domain in (None, member.failure_domain)
        ]

    def dispatcher_for(self, replica: str, failure_domain: str) -> str | None:
        """Returns the instance that dispatches for a replica.

        Args:
            replica: Replica id.
            failure_domain: The replica's failure domain. Instances of other
                failure domains dispatch only if it has no live instance.
        """
        key = (replica, failure_domain)
        if key not in self._dispatcher_by_replica:
            candidates = self.live(failure_domain) or self.live()
            chosen = rendezvous.first(candidates, replica)
            self._dispatcher_by_replica[key] = chosen
        return self._dispatcher_by_replica[key]

    def _changed(self) -> None:
        self._dispatcher_by_replica.clear()
        for listener in self._listeners:
            listener()
