"""Maps a method and path to a route."""


class Router:
    """
    Finds the route of a request: an exact path first, then the longest prefix.

    >>> from lavendermast.settings_model import Route
    >>> route = Route.from_config({"method": "GET", "path": "/stock/*",
    ...                            "service": "stock", "idempotent": True})
    >>> Router({"stock": route}).find_route("GET", "/stock/hoops/7")[0]
    'stock'
    """

    def __init__(self, routes):
        self._exact = {}
        self._prefixes = {}
        for name, route in routes.items():
            if route.path.endswith("*"):
                prefixes = self._prefixes.setdefault(route.method, {})
                prefixes[route.path[:-1]] = (name, route)
            else:
                self._exact[route.method, route.path] = (name, route)

    @classmethod
    def from_config(cls, config):
        """Return the router of a configuration."""
        return cls(config.routes)

    def find_route(self, method, path):
        """
        Return the route of a request.

        :return: ``(name, route)``, or ``None`` when no route matches.
        """
        found = self._exact.get((method, path))
        if found:
            return found
        prefixes = self._prefixes.get(method)
        if not prefixes:
            return None
        for end in range(len(path), -1, -1):
            found = prefixes.get(path[:end])
            if found:
                return found
        return None
