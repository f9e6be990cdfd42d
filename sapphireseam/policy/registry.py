"""Find a behaviour's implementation by the name in the configuration.

The published configuration chooses each behaviour by name, so that a policy
and its baseline run side by side and a change needs no new program.
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
    """Return one finding for each unknown behaviour or name.

    >>> check({"queue": "fair"}, "policy")
    []
    """
    findings = []
    for behaviour, name in choices.items():
        names = FACTORIES.get(behaviour)
        place = f"{source}: {behaviour}"
        if names is None:
            known = ", ".join(sorted(FACTORIES))
            message = f"unknown behaviour, expected one of {known}"
            findings.append(setting.Finding(place, message, name))
        elif name not in names:
            known = ", ".join(sorted(names))
            message = f"unknown name, expected one of {known}"
            findings.append(setting.Finding(place, message, name))
    return findings


def build(choices: Mapping[str, str], behaviour: str, *args: Any, **kwargs: Any) -> Any:
    """Return a new object for a behaviour, the default where none is chosen.

    The arguments go to the implementation. Raises `KeyError` for a name that
    `check` finds fault with.
    """
    name = choices.get(behaviour, DEFAULTS[behaviour])
    return FACTORIES[behaviour][name](*args, **kwargs)
