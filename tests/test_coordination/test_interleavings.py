"""Property tests of entries with a lead."""

from __future__ import annotations

from hypothesis import settings

from tests.test_coordination.joint_world import JointWorld
from tests.test_submission.test_interleavings import JobInterleavings


class JointInterleavings(JobInterleavings):
    """The interleavings of the job tests, with a lead and without."""

    make_world = JointWorld


JointInterleavings.TestCase.settings = settings(
    max_examples=80, stateful_step_count=60, deadline=None
)
TestJointInterleavings = JointInterleavings.TestCase
