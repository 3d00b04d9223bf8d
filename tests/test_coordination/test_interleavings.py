"""Property tests of entries with a lead."""

from __future__ import annotations

from hypothesis import settings

from tests.test_coordination.joint_world import JointWorld, LinkedLeadWorld
from tests.test_submission.test_interleavings import JobInterleavings


class JointInterleavings(JobInterleavings):
    """The interleavings of the job tests, with a lead and without."""

    make_world = JointWorld


class LinkedLeadInterleavings(JobInterleavings):
    """The same among more entries than a side links to."""

    make_world = LinkedLeadWorld


JointInterleavings.TestCase.settings = settings(
    max_examples=80, stateful_step_count=60, deadline=None
)
TestJointInterleavings = JointInterleavings.TestCase
LinkedLeadInterleavings.TestCase.settings = settings(
    max_examples=40, stateful_step_count=60, deadline=None
)
TestLinkedLeadInterleavings = LinkedLeadInterleavings.TestCase
