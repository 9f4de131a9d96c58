"""Tests of the component that shares crashes and judges requests."""

import asyncio

from msgspec import structs

from fescuekeel.components.quarantine import Verdict
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Ran
from fescuekeel.helpers.settings import QuarantineSettings
from tests.common import add_quarantine, make_settings

FINGERPRINT = "ab" * 16
OTHER = "cd" * 16


class NoPeers:
    """A link without peers."""

    def send_all(self, instance_ids, body):
        assert not list(instance_ids)


def run(work, **settings):
    async def start():
        clock = [100.0]
        instance = Instance(make_settings(), clock=lambda: clock[0])
        instance.components_by_domain["peers"] = NoPeers()
        add_quarantine(instance)
        await instance.components_by_domain["gossip"].start()
        quarantine = instance.components_by_domain["quarantine"]
        await quarantine.start()
        work(quarantine, instance, clock)

    asyncio.run(start())


def crash(quarantine, clock, count, fingerprint=FINGERPRINT):
    for number in range(count):
        clock[0] += 1.0
        quarantine.record_crash("r", fingerprint, f"e{number}", clock[0] - 0.1)


class TestCheck:
    def test_a_quarantined_request_is_refused(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 2)
            assert quarantine.check(FINGERPRINT, False) is None
            crash(quarantine, clock, 3)
            failure = quarantine.check(FINGERPRINT, False)
            assert failure.kind is ErrorKind.QUARANTINED
            assert not failure.response.retry
            assert FINGERPRINT in failure.detail
            assert quarantine.check(OTHER, False) is None

        run(work)

    def test_the_failure_tells_whether_the_request_ran(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 3)
            assert quarantine.check(FINGERPRINT, False).outcome is Ran.NO
            assert quarantine.check(FINGERPRINT, True).outcome is Ran.YES

        run(work)


class TestRelease:
    def test_a_completed_request_is_released(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 2)
            assert quarantine.judge(FINGERPRINT) is Verdict.SUSPECT
            quarantine.record_completed(FINGERPRINT)
            assert quarantine.is_empty

        run(work)

    def test_a_crash_of_content_that_has_just_completed_does_not_count(self):
        def work(quarantine, instance, clock):
            quarantine.record_completed(FINGERPRINT)
            crash(quarantine, clock, 3)
            assert quarantine.is_empty

        run(work)

    def test_settings_release_a_request_and_later_crashes_count(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 3)
            released = QuarantineSettings((FINGERPRINT,))
            instance.reload(structs.replace(instance.settings, quarantine=released))
            assert quarantine.check(FINGERPRINT, False) is None
            clock[0] += 10.0
            crash(quarantine, clock, 3)
            assert quarantine.check(FINGERPRINT, False) is not None

        run(work)
