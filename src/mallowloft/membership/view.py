"""What one instance believes of the others."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from mallowloft.kernel import logs
from mallowloft.membership import rendezvous

_log = logs.get("membership")

# Known, but not yet heard of: it takes no part in the choice of dispatchers.
LISTED = "listed"
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
        self._live_by_domain: dict[str, dict[str, None]] = {}
        self._known_by_domain: dict[str, dict[str, None]] = {}
        self._not_live: dict[str, None] = {}
        # Weight and instance of the chosen dispatcher, by replica by domain.
        self._chosen_by_domain: dict[
            str, dict[str, tuple[int, str] | None]
        ] = {}
        self._batch_depth = 0
        self._batch_changed = False

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when the view changes."""
        self._listeners.append(listener)

    def put(self, member: Member) -> None:
        """Adds or replaces a member."""
        held = self.members_by_id.get(member.instance)
        if held == member:
            return
        self.members_by_id[member.instance] = member
        self._index(held, member)
        self._set_live(held, member)
        self._changed()

    def remove(self, instance: str) -> None:
        """Removes a member."""
        held = self.members_by_id.pop(instance, None)
        if held is not None:
            self._index(held, None)
            self._set_live(held, None)
            self._changed()

    def set_state(self, instance: str, state: str) -> None:
        """Changes the state of a member that is known."""
        member = self.members_by_id.get(instance)
        if member is not None:
            self.put(dataclasses.replace(member, state=state))

    def state_of(self, instance: str) -> str | None:
        """Returns the state of a member, None if it is not known."""
        member = self.members_by_id.get(instance)
        return member.state if member is not None else None

    def domain_of(self, instance: str) -> str | None:
        """Returns the failure domain of a member, None if it is not known."""
        member = self.members_by_id.get(instance)
        return member.failure_domain if member is not None else None

    def known(self, failure_domain: str) -> list[str]:
        """Returns all members of a failure domain, in whatever state."""
        return list(self._known_by_domain.get(failure_domain, ()))

    def known_domains(self) -> list[str]:
        """Returns the failure domains that have a member in any state."""
        return [name for name, known in self._known_by_domain.items() if known]

    def not_live(self) -> list[str]:
        """Returns the members that are not live."""
        return list(self._not_live)

    def domains(self) -> list[str]:
        """Returns the failure domains that have a live member."""
        return [name for name, live in self._live_by_domain.items() if live]

    def live(self, failure_domain: str | None = None) -> list[str]:
        """Returns live members, of one failure domain or of all."""
        if failure_domain is not None:
            return list(self._live_by_domain.get(failure_domain, ()))
        return [
            instance
            for live in self._live_by_domain.values()
            for instance in live
        ]

    def dispatcher_for(self, replica: str, failure_domain: str) -> str | None:
        """Returns the instance that dispatches for a replica.

        Args:
            replica: Replica id.
            failure_domain: The replica's failure domain. Instances of other
                failure domains dispatch only if it has no live instance.
        """
        chosen_by_replica = self._chosen_by_domain.setdefault(
            failure_domain, {}
        )
        if replica not in chosen_by_replica:
            candidates = self.live(failure_domain) or self.live()
            chosen = rendezvous.first(candidates, replica)
            chosen_by_replica[replica] = (
                None
                if chosen is None
                else (rendezvous.weight(chosen, replica), chosen)
            )
        found = chosen_by_replica[replica]
        return None if found is None else found[1]

    @contextlib.contextmanager
    def batch(self) -> Iterator[None]:
        """Calls listeners once after several changes."""
        self._batch_depth += 1
        try:
            yield
        finally:
            self._batch_depth -= 1
            if self._batch_depth == 0 and self._batch_changed:
                self._batch_changed = False
                self._notify()

    def _index(self, before: Member | None, after: Member | None) -> None:
        if before is not None:
            del self._known_by_domain[before.failure_domain][before.instance]
            self._not_live.pop(before.instance, None)
        if after is not None:
            known = self._known_by_domain.setdefault(after.failure_domain, {})
            known[after.instance] = None
            if after.state != LIVE:
                self._not_live[after.instance] = None

    def _set_live(self, before: Member | None, after: Member | None) -> None:
        was = before.failure_domain if before and before.state == LIVE else None
        now = after.failure_domain if after and after.state == LIVE else None
        if was == now:
            return
        if was is not None:
            self._drop_live(before.instance, was)
        if now is not None:
            self._add_live(after.instance, now)

    def _drop_live(self, instance: str, failure_domain: str) -> None:
        live = self._live_by_domain[failure_domain]
        del live[instance]
        self._forget_borrowed()
        if not live:
            self._chosen_by_domain.pop(failure_domain, None)
            return
        chosen_by_replica = self._chosen_by_domain.get(failure_domain, {})
        self._chosen_by_domain[failure_domain] = {
            replica: chosen
            for replica, chosen in chosen_by_replica.items()
            if chosen is not None and chosen[1] != instance
        }

    def _add_live(self, instance: str, failure_domain: str) -> None:
        self._forget_borrowed()
        live = self._live_by_domain.setdefault(failure_domain, {})
        chosen_by_replica = self._chosen_by_domain.get(failure_domain, {})
        for replica, chosen in chosen_by_replica.items():
            challenger = (rendezvous.weight(instance, replica), instance)
            if chosen is None or challenger > chosen:
                chosen_by_replica[replica] = challenger
        live[instance] = None

    def _forget_borrowed(self) -> None:
        """Drops choices for domains whose dispatchers are of other domains."""
        for failure_domain in list(self._chosen_by_domain):
            if not self._live_by_domain.get(failure_domain):
                del self._chosen_by_domain[failure_domain]

    def _changed(self) -> None:
        if self._batch_depth:
            self._batch_changed = True
        else:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            try:
                listener()
            except Exception:  # noqa: BLE001
                _log.exception("membership_listener_failed")
