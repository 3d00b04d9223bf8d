"""The message modules of all slices of the system."""

from __future__ import annotations

from jackdawridge.configuration import messages as configuration
from jackdawridge.coordination import messages as coordination
from jackdawridge.deployment import messages as deployment
from jackdawridge.execution import messages as execution
from jackdawridge.forwarding import messages as forwarding
from jackdawridge.membership import messages as membership
from jackdawridge.submission import messages as submission

#: Modules with the schema and the message types of each slice, whose messages
#: entries and sides exchange.
SLICES = (
    configuration,
    coordination,
    deployment,
    execution,
    membership,
    forwarding,
    submission,
)
