"""Current configuration of this VM, its router and its service sets."""

from lavendermast.placement import ServiceSets
from lavendermast.routes import Router

#: States in which a VM may serve callers.
SERVING_STATES = ("alive", "suspect")


class Policy:
    """
    Holds the configuration that is read for every request.

    :param get_members: returns the members that may serve callers.
    """

    def __init__(self, get_members):
        self.config = None
        self.router = None
        self.version = 0
        self.ready = False
        self._sets = ServiceSets(get_members)

    def apply(self, config, version):
        """Replace the current configuration."""
        self.config = config
        self.router = Router.from_config(config)
        self.version = version

    def apply_member(self, update, previous):
        """
        Update the service sets after a change of membership.

        :return: whether the set of VMs that may serve callers, or a zone, changed.
        """
        is_serving = update.state in SERVING_STATES
        was_serving = previous is not None and previous.state in SERVING_STATES
        if is_serving and was_serving and update.zone == previous.zone:
            return False
        if was_serving:
            self._sets.remove(update.vm)
        if is_serving:
            self._sets.add(update)
        return is_serving or was_serving

    def get_service_set(self, name):
        """Return the names of the VMs that serve a service, ``None`` if unknown."""
        service = self.config.services.get(name)
        if service is None:
            return None
        return self._sets.get_set(name, service.vms_per_service)
