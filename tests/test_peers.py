"""Size limits of batches and frames between instances."""

from mallowloft import messages
from mallowloft import peers
from mallowloft.kernel import lifecycle
from mallowloft.kernel import settings as settings_lib
from mallowloft.submissions import model as submissions_model
from tests.support import virtual
from tests.support import world as world_lib

_MIB = 1 << 20


def _reply(attempt: int, size: int) -> messages.SubReply:
    return messages.SubReply(
        attempt=attempt,
        replica="r1",
        outcome=messages.Outcome.OK,
        index_version=1,
        results={"s1": b"x" * size},
        versions=(),
        queue_delay_ms=0.0,
        service_ms=0.0,
        retry_after_ms=0.0,
    )


def _frames(batch: tuple[messages.Message, ...]) -> list[bytes]:
    kernel = lifecycle.Kernel(
        settings_lib.Settings(instance_id="i1", failure_domain="d1")
    )
    return list(peers.ZeroMqPeers(kernel)._encode_frames("i2", batch))


class TestFrames:
    """Frames stay within the limit.

    The receiver closes the connection on a frame over the limit.
    """

    def test_large_batch_is_split(self):
        batch = tuple(_reply(number, 6 * _MIB) for number in range(5))
        frames = _frames(batch)
        decoded = [messages.decode(frame).unwrap() for frame in frames]
        assert all(len(item) <= messages.MAX_FRAME_BYTES for item in frames)
        assert [
            message.attempt for item in decoded for message in item.messages
        ] == list(range(5))

    def test_too_large_message_does_not_lose_others(self):
        batch = (_reply(0, 10), _reply(1, 17 * _MIB), _reply(2, 10))
        decoded = [messages.decode(item).unwrap() for item in _frames(batch)]
        assert [
            message.attempt for item in decoded for message in item.messages
        ] == [0, 2]


class TestLargeReplies:
    """A reply is passed on completely or not at all, never truncated."""

    def test_result_over_the_limit_is_reported_as_too_large(self):
        async def scenario():
            world = world_lib.World()
            world.publish_service("svc", {"a": "d1", "b": "d1"})
            world.publish(
                {
                    "/operator/indexes/main": {
                        "versions": [
                            {"version": 1, "shards": {"svc": {"s": ["a", "b"]}}}
                        ]
                    }
                }
            )
            world.publish_team("team", "paying")
            await world.start({"i1": "d1", "i2": "d1"})
            # The fake upstream returns the query in each row.
            size = messages.MAX_CONTENT_BYTES + 1
            body = b'"' + b"x" * size + b'"'
            return await world.query("i1", "team", "svc", body=body)

        answer = virtual.run(scenario()).unwrap()
        assert not answer.results
        assert list(answer.lacking.values()) == ["too_large"]

    def test_submission_with_too_large_reply_is_done_without_reply(self):
        """Guards against "unknown" because the reply exceeds a frame."""

        async def scenario():
            world = world_lib.World()
            world.publish_service("svc", {"a": "d1"})
            world.publish(
                {
                    "/operator/indexes/main": {
                        "versions": [
                            {"version": 1, "shards": {"svc": {"s": ["a"]}}}
                        ]
                    }
                }
            )
            world.publish_team("team", "paying")
            await world.start({"i1": "d1"})
            submissions = world.kernels_by_id["i1"].plugin("submissions")
            (key,) = submissions.issue("team", 1)
            submission = submissions_model.Submission(
                request_id="r",
                team="team",
                key=key,
                service="svc",
                shard="s",
                # The fake upstream returns the body.
                body=b"x" * (messages.MAX_CONTENT_BYTES + 1),
                rank=0,
                deadline_ms=1000.0,
                first_send=True,
            )
            return await world.run_at("i1", submissions.submit(submission))

        assert virtual.run(scenario()) == submissions_model.Done(b"")
