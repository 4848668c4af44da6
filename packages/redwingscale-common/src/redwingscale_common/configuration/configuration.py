"""The typed form of an accepted configuration text."""

from typing import NamedTuple

from redwingscale_common.configuration.caller import Caller
from redwingscale_common.configuration.model import Model
from redwingscale_common.configuration.policy import Policy, WeightStore
from redwingscale_common.configuration.service import ModelService, Service
from redwingscale_common.configuration.unit import Unit


class Configuration(NamedTuple):
    """The configuration that an instance runs with, keyed for look-up."""

    deployment: str
    policy: Policy
    weight_store: WeightStore
    callers_by_token: dict[str, Caller]
    callers_by_name: dict[str, Caller]
    models_by_name: dict[str, Model]
    services_by_name: dict[str, Service]

    def serving_units(self) -> dict[Unit, int]:
        """Return the size in bytes of each unit that must be resident to serve all listed models."""
        units: dict[Unit, int] = {}
        for model in self.models_by_name.values():
            version = model.versions_by_name[model.serving]
            units[Unit(model.name, version.name)] = version.size_bytes
            for adapter in model.adapters_by_name.values():
                units[Unit(model.name, version.name, adapter.name)] = adapter.size_bytes
        return units

    def model_services(self, caller: str, model: str) -> list[ModelService]:
        """Return the services through which ``caller`` may use ``model``."""
        return [
            service
            for service in self.services_by_name.values()
            if isinstance(service, ModelService)
            and caller in service.callers
            and any(d.model == model for d in service.depends_on)
        ]
