"""The configuration in force in this VM."""

from lavendermast.placement import ServiceSets
from lavendermast.routes import Router


class Policy:
    """
    Holds what the request path reads on every request.

    :param get_members: callable that returns the members that may serve.
    """

    def __init__(self, get_members):
        self.config = None
        self.router = None
        self.version = 0
        self.ready = False
        self._sets = ServiceSets(get_members)

    def apply(self, config, version):
        """Put a configuration in force."""
        self.config = config
        self.router = Router.from_config(config)
        self.version = version

    def invalidate_sets(self):
        """Recompute service sets after a change of membership."""
        self._sets.invalidate()

    def get_service_set(self, name):
        """Return the VM names that serve a service, ``None`` if it does not exist."""
        service = self.config.services.get(name)
        if service is None:
            return None
        return self._sets.get_set(name, service.vms_per_service)
