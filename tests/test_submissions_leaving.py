"""Message handlers and the encoding of submission messages."""

from mallowloft import messages
from mallowloft import peers as peers_lib

_SENDER = peers_lib.Sender("i1", 1, "tcp://i1")


class TestSeveralHandlers:
    """Guards against a plug-in that replaces the handler of another one.

    Several plug-ins may handle one type of message.
    """

    def test_all_handlers_get_the_message(self):
        received = []
        handlers = peers_lib.MessageHandlers()
        handlers.add_handler(
            messages.Leaving, lambda *_: received.append("first")
        )
        handlers.add_handler(
            messages.Leaving, lambda *_: received.append("second")
        )
        handlers.deliver(_SENDER, (messages.Leaving("i2"),))
        assert received == ["first", "second"]

    def test_next_handler_is_called_after_a_failing_one(self):
        received = []

        def fail(sender, message):
            raise ValueError("broken handler")

        handlers = peers_lib.MessageHandlers()
        handlers.add_handler(messages.Leaving, fail)
        handlers.add_handler(
            messages.Leaving, lambda *_: received.append("second")
        )
        handlers.deliver(_SENDER, (messages.Leaving("i2"),))
        assert received == ["second"]


class TestMessages:
    """Guards against messages that the receiver cannot decode."""

    def test_submission_messages_are_decoded_unchanged(self):
        entry = messages.LedgerEntry(
            "mk1.a", b"\x00\xff", messages.SubmitState.DONE, "", b'"lamp"'
        )
        sent = (
            messages.SubmitOpen(1 << 62, "mk1.a", "hunters", b"\x00\xff"),
            messages.SubmitTicket(1 << 62, 7),
            messages.SubmitGo(
                1, 7, "mk1.a", "q", "hunters", "shop", "s0", b"1", 0, 10.5
            ),
            messages.SubmitOutcome(
                1, messages.SubmitState.EXPIRED, "", b"", True, 0.0
            ),
            messages.LedgerHandover("i1", 1 << 62, 0, 1, 5, 9.5, (entry,)),
            messages.LedgerReceived("i1", 1, False),
            messages.LedgerHeld("i1", 1),
        )
        envelope = messages.Envelope(
            messages.PROTOCOL_VERSION, "i1", 1, "tcp://i1", 0, sent
        )
        received = messages.decode(messages.encode(envelope))
        assert received.unwrap() == envelope
