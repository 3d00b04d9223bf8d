"""Property tests of entries that decide together."""

from __future__ import annotations

from hypothesis import settings

from tests.test_coordination.joint_world import JointWorld
from tests.test_submission.test_interleavings import JobInterleavings


class JointInterleavings(JobInterleavings):
    """The same losses, delays and deaths, with a lead and without."""

    make_world = JointWorld


JointInterleavings.TestCase.settings = settings(
    max_examples=80, stateful_step_count=60, deadline=None
)
TestJointInterleavings = JointInterleavings.TestCase
