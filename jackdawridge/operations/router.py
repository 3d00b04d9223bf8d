"""Chooses the resource that serves a path of a listener."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import NoResource, Resource

if TYPE_CHECKING:
    from klein import Klein


class Router(Resource):
    """Serves each path by the resource with the longest matching prefix."""

    def __init__(self) -> None:
        """Start without resources."""
        super().__init__()
        self.mounts: dict[bytes, Any] = {}

    def mount(self, prefix: str, resource: Any) -> None:
        """Serve a prefix by a resource, which sees the whole path.

        :param prefix: such as `/v1/jobs`.
        :param resource: that treats all paths below the prefix itself.
        """
        self.mounts[prefix.encode()] = resource

    def mount_klein(self, prefix: str, app: Klein) -> None:
        """Serve a prefix by a Klein application.

        :param prefix: such as `/v1/jobs`.
        :param app: bound to an instance.
        """
        self.mount(prefix, app.resource())

    def getChild(self, path: bytes, request: Any) -> Any:
        """Return the resource for a request and give it the whole path.

        :param path: the first segment.
        :param request: of a caller.
        """
        matching = [
            prefix
            for prefix in self.mounts
            if (b'%s/' % request.path).startswith(b'%s/' % prefix)
        ]
        if not matching:
            return NoResource()
        request.postpath.insert(0, request.prepath.pop())
        return self.mounts[max(matching, key=len)]
