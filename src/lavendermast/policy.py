"""The configuration in force in this VM."""

from lavendermast.placement import ServiceSets
from lavendermast.routes import Router

#: States in which a VM may serve callers.
SERVING_STATES = ("alive", "suspect")


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

    def apply_member(self, update, previous):
        """
        Change the service sets after a change of membership.

        :return: whether the VMs that may serve changed.
        """
        serves = update.state in SERVING_STATES
        served = previous is not None and previous.state in SERVING_STATES
        if serves and served and update.zone == previous.zone:
            return False
        if served:
            self._sets.remove(update.vm)
        if serves:
            self._sets.add(update)
        return serves or served

    def get_service_set(self, name):
        """Return the VM names that serve a service, ``None`` if it does not exist."""
        service = self.config.services.get(name)
        if service is None:
            return None
        return self._sets.get_set(name, service.vms_per_service)
