"""Dispatch of the requests of a listener to resources by path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import NoResource, Resource

if TYPE_CHECKING:
    from klein import Klein


class Router(Resource):
    """Dispatches each path to the resource with the longest matching prefix."""

    def __init__(self) -> None:
        """Start without resources."""
        super().__init__()
        self.mounts: dict[bytes, Any] = {}

    def mount(self, prefix: str, resource: Any) -> None:
        """Dispatch the paths below a prefix to a resource.

        :param prefix: path prefix without a final slash, such as `/v1/jobs`.
        :param resource: resource that serves all of these paths; it gets the
            whole path.
        """
        self.mounts[prefix.encode()] = resource

    def mount_klein(self, prefix: str, app: Klein) -> None:
        """Dispatch the paths below a prefix to a Klein application.

        :param prefix: path prefix without a final slash, such as `/v1/jobs`.
        :param app: Klein application, bound to an instance.
        """
        self.mount(prefix, app.resource())

    def getChild(self, path: bytes, request: Any) -> Any:
        """Return the resource of a request, which gets the whole path.

        :param path: first segment of the path, which is put back.
        :param request: a request with any path.
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
