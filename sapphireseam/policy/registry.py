"""Selects the implementation of each behaviour by its name in the configuration.

Since the published configuration names the implementations, a policy and its
baseline can run side by side, and a change of policy needs no new program.
"""

from collections.abc import Callable, Mapping
from typing import Any

from sapphireseam.policy import admission, limit, queue, router
from sapphireseam.utils import setting

FACTORIES: dict[str, dict[str, Callable[..., Any]]] = {
    "limiter": {
        "owner": limit.OwnerLimiter,
        "static_split": limit.StaticSplitLimiter,
    },
    "queue": {
        "fair": queue.FairQueue,
        "first_come": queue.FirstComeQueue,
    },
    "admission": {
        "adaptive": admission.AdaptiveAdmission,
        "adaptive_tail": admission.make_tail_admission,
        "fixed": admission.FixedAdmission,
    },
    "router": {
        "prefix": router.PrefixRouter,
        "round_robin": router.RoundRobinRouter,
        "least_loaded": router.LeastLoadedRouter,
    },
}

DEFAULTS: dict[str, str] = {
    "limiter": "owner",
    "queue": "fair",
    "admission": "adaptive",
    "router": "prefix",
}


def check(choices: Mapping[str, str], source: str) -> list[setting.Finding]:
    """Return a finding for each unknown behaviour or implementation name.

    >>> check({"queue": "fair"}, "policy")
    []
    """
    findings = []
    for behaviour, name in choices.items():
        names = FACTORIES.get(behaviour)
        location = f"{source}: {behaviour}"
        if names is None:
            known = ", ".join(sorted(FACTORIES))
            message = f"unknown behaviour, expected one of {known}"
            findings.append(setting.Finding(location, message, name))
        elif name not in names:
            known = ", ".join(sorted(names))
            message = f"unknown name, expected one of {known}"
            findings.append(setting.Finding(location, message, name))
    return findings


def build(choices: Mapping[str, str], behaviour: str, *args: Any, **kwargs: Any) -> Any:
    """Return a new object for a behaviour, of the default if none is chosen.

    The arguments are passed to the implementation. Raises `KeyError` for a name
    that `check` reports.
    """
    name = choices.get(behaviour, DEFAULTS[behaviour])
    return FACTORIES[behaviour][name](*args, **kwargs)
