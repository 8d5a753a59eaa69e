"""Alarms on the configuration, each told once."""

from rhubarbwell_core.adoption.messages import (
    ConfigurationAlarm,
    ConfigurationAlarmKind,
)
from rhubarbwell_core.engine import Action

__all__ = ["AlarmLog"]

MAX_TOLD = 256


class AlarmLog:
    """Tell an alarm once for each kind and version.

    >>> alarms = AlarmLog()
    >>> len(alarms.tell(ConfigurationAlarmKind.REFUSED, 7, "unknown format"))
    1
    >>> alarms.tell(ConfigurationAlarmKind.REFUSED, 7, "unknown format")
    []
    """

    def __init__(self) -> None:
        self._told: dict[tuple[ConfigurationAlarmKind, int], str] = {}

    def tell(
        self, kind: ConfigurationAlarmKind, version: int, detail: str
    ) -> list[Action]:
        """Return the alarm unless it was told before."""
        if (kind, version) in self._told:
            return []
        if len(self._told) >= MAX_TOLD:
            self._told.pop(next(iter(self._told)))
        self._told[kind, version] = detail
        return [ConfigurationAlarm(kind, version, detail)]

    def clear(self) -> None:
        """Let the alarms on the store be told again once they recur."""
        store_kinds = (
            ConfigurationAlarmKind.FORKED,
            ConfigurationAlarmKind.STORE_BEHIND,
        )
        self._told = {
            key: v for key, v in self._told.items() if key[0] not in store_kinds
        }
