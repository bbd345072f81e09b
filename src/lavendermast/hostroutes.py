"""Selects routes by host and longest path prefix, and splits traffic by weight."""


class WeightedRoundRobin:
    """
    Smooth weighted round robin over the parts of a traffic split.

    The shares match the weights after any number of requests, not only on average as
    with random selection.

    :param parts: pairs of name and weight; parts of weight zero get no requests.

    >>> round_robin = WeightedRoundRobin([("a", 3), ("b", 1)])
    >>> [round_robin.choose() for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self, parts):
        self._parts = [[name, weight, 0.0] for name, weight in parts if weight > 0]
        self._total = sum(part[1] for part in self._parts)

    def choose(self):
        """Return the name of the part for the next request."""
        for part in self._parts:
            part[2] += part[1]
        chosen = max(self._parts, key=lambda part: part[2])
        chosen[2] -= self._total
        return chosen[0]


class HostRouter:
    """
    Finds the route of a request.

    :param config: an ``EntryConfig``.
    """

    def __init__(self, config):
        self._hosts = {}
        for route in config.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._round_robins = {}

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route):
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = WeightedRoundRobin(
                [(part.service, part.weight) for part in route.parts]
            )
            self._round_robins[route.name] = round_robin
        return round_robin.choose()
