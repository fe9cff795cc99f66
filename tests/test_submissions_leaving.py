"""Several plug-ins may handle one type of message."""

from mallowloft import messages
from mallowloft import peers as peers_lib

_SENDER = peers_lib.Sender("i1", 1, "tcp://i1")


class TestSeveralHandlers:
    """Guards against a plug-in that replaces the handler of another."""

    def test_every_handler_gets_the_message(self):
        received = []
        dispatch = peers_lib.Dispatch()
        dispatch.on(messages.Leaving, lambda *_: received.append("first"))
        dispatch.on(messages.Leaving, lambda *_: received.append("second"))
        dispatch.deliver(_SENDER, (messages.Leaving("i2"),))
        assert received == ["first", "second"]

    def test_a_failing_handler_does_not_stop_the_next(self):
        received = []

        def fail(sender, message):
            raise ValueError("broken handler")

        dispatch = peers_lib.Dispatch()
        dispatch.on(messages.Leaving, fail)
        dispatch.on(messages.Leaving, lambda *_: received.append("second"))
        dispatch.deliver(_SENDER, (messages.Leaving("i2"),))
        assert received == ["second"]
