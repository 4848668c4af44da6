"""The configuration: its JSON text, the schema and checks of the text, and its typed form."""

from redwingscale_common.configuration.caller import Caller
from redwingscale_common.configuration.check import check_text, load_accepted_text, load_text
from redwingscale_common.configuration.configuration import Configuration
from redwingscale_common.configuration.model import Adapter, Model, ModelVersion
from redwingscale_common.configuration.policy import Policy, WeightStore
from redwingscale_common.configuration.service import (
    Dependency,
    ModelService,
    PlainService,
    Service,
)
from redwingscale_common.configuration.unit import Unit

__all__ = [
    "Adapter",
    "Caller",
    "Configuration",
    "Dependency",
    "Model",
    "ModelService",
    "ModelVersion",
    "PlainService",
    "Policy",
    "Service",
    "Unit",
    "WeightStore",
    "check_text",
    "load_accepted_text",
    "load_text",
]
