"""View of the fleet's members as held by one instance."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from mallowloft.kernel import logs
from mallowloft.membership import rendezvous

_log = logs.get_logger("membership")

# The member is not known to be live, for example because no message from it has
# arrived yet. It is not eligible as a dispatcher.
LISTED = "listed"
LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """State of one instance as observed by this instance."""

    instance: str
    failure_domain: str
    address: str
    incarnation: int
    state: str


class View:
    """Members and the dispatcher of each replica.

    The choice of a dispatcher only directs traffic. Correctness does not depend
    on instances agreeing on it.
    """

    def __init__(self) -> None:
        self.members_by_id: dict[str, Member] = {}
        self._listeners: list[Callable[[], None]] = []
        # Dicts serve as ordered sets. The order of a set of strings differs
        # between processes, so seeded random choices would not be reproducible.
        self._live_by_domain: dict[str, dict[str, None]] = {}
        self._known_by_domain: dict[str, dict[str, None]] = {}
        self._not_live: dict[str, None] = {}
        # Weight and instance of the dispatcher, by failure domain and replica.
        self._dispatchers_by_domain: dict[
            str, dict[str, tuple[int, str] | None]
        ] = {}
        self._batch_depth = 0
        self._batch_changed = False

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when the view changes."""
        self._listeners.append(listener)

    def update(self, member: Member) -> None:
        """Adds or replaces a member."""
        previous = self.members_by_id.get(member.instance)
        if previous == member:
            return
        self.members_by_id[member.instance] = member
        self._update_known(previous, member)
        self._update_live(previous, member)
        self._on_change()

    def remove(self, instance: str) -> None:
        """Removes a member."""
        previous = self.members_by_id.pop(instance, None)
        if previous is not None:
            self._update_known(previous, None)
            self._update_live(previous, None)
            self._on_change()

    def set_state(self, instance: str, state: str) -> None:
        """Changes the state of a member; unknown members are ignored."""
        member = self.members_by_id.get(instance)
        if member is not None:
            self.update(dataclasses.replace(member, state=state))

    def state_of(self, instance: str) -> str | None:
        """Returns the state of a member, None if it is not known."""
        member = self.members_by_id.get(instance)
        return member.state if member is not None else None

    def domain_of(self, instance: str) -> str | None:
        """Returns the failure domain of a member, None if it is not known."""
        member = self.members_by_id.get(instance)
        return member.failure_domain if member is not None else None

    def known(self, failure_domain: str) -> list[str]:
        """Returns the members of a failure domain in any state."""
        return list(self._known_by_domain.get(failure_domain, ()))

    def known_domains(self) -> list[str]:
        """Returns the failure domains that have a member in any state."""
        return [name for name, known in self._known_by_domain.items() if known]

    def not_live(self) -> list[str]:
        """Returns the members that are not live."""
        return list(self._not_live)

    def live_domains(self) -> list[str]:
        """Returns the failure domains that have a live member."""
        return [name for name, live in self._live_by_domain.items() if live]

    def live(self, failure_domain: str | None = None) -> list[str]:
        """Returns the live members of one failure domain or of all domains."""
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
                failure domains dispatch only if this domain has no live
                instance.
        """
        dispatchers_by_replica = self._dispatchers_by_domain.setdefault(
            failure_domain, {}
        )
        if replica not in dispatchers_by_replica:
            candidates = self.live(failure_domain) or self.live()
            chosen = rendezvous.first(candidates, replica)
            dispatchers_by_replica[replica] = (
                None
                if chosen is None
                else (rendezvous.weight(chosen, replica), chosen)
            )
        choice = dispatchers_by_replica[replica]
        return None if choice is None else choice[1]

    @contextlib.contextmanager
    def batch(self) -> Iterator[None]:
        """Defers notification so that listeners are called at most once."""
        self._batch_depth += 1
        try:
            yield
        finally:
            self._batch_depth -= 1
            if self._batch_depth == 0 and self._batch_changed:
                self._batch_changed = False
                self._notify()

    def _update_known(
        self, before: Member | None, after: Member | None
    ) -> None:
        if before is not None:
            del self._known_by_domain[before.failure_domain][before.instance]
            self._not_live.pop(before.instance, None)
        if after is not None:
            known = self._known_by_domain.setdefault(after.failure_domain, {})
            known[after.instance] = None
            if after.state != LIVE:
                self._not_live[after.instance] = None

    def _update_live(self, before: Member | None, after: Member | None) -> None:
        old_domain = (
            before.failure_domain if before and before.state == LIVE else None
        )
        new_domain = (
            after.failure_domain if after and after.state == LIVE else None
        )
        if old_domain == new_domain:
            return
        if old_domain is not None:
            self._remove_live(before.instance, old_domain)
        if new_domain is not None:
            self._add_live(after.instance, new_domain)

    def _remove_live(self, instance: str, failure_domain: str) -> None:
        live = self._live_by_domain[failure_domain]
        del live[instance]
        self._drop_remote_choices()
        if not live:
            self._dispatchers_by_domain.pop(failure_domain, None)
            return
        dispatchers_by_replica = self._dispatchers_by_domain.get(
            failure_domain, {}
        )
        self._dispatchers_by_domain[failure_domain] = {
            replica: chosen
            for replica, chosen in dispatchers_by_replica.items()
            if chosen is not None and chosen[1] != instance
        }

    def _add_live(self, instance: str, failure_domain: str) -> None:
        self._drop_remote_choices()
        live = self._live_by_domain.setdefault(failure_domain, {})
        dispatchers_by_replica = self._dispatchers_by_domain.get(
            failure_domain, {}
        )
        for replica, chosen in dispatchers_by_replica.items():
            candidate = (rendezvous.weight(instance, replica), instance)
            if chosen is None or candidate > chosen:
                dispatchers_by_replica[replica] = candidate
        live[instance] = None

    def _drop_remote_choices(self) -> None:
        """Drops choices for domains without a live instance of their own."""
        for failure_domain in list(self._dispatchers_by_domain):
            if not self._live_by_domain.get(failure_domain):
                del self._dispatchers_by_domain[failure_domain]

    def _on_change(self) -> None:
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
