"""Suppress repeated alarms on the configuration."""

from rhubarbwell_core.adoption.messages import (
    ConfigurationAlarm,
    ConfigurationAlarmKind,
)
from rhubarbwell_core.engine import Action

__all__ = ["AlarmFilter"]

MAX_ALARMS_REMEMBERED = 256


class AlarmFilter:
    """Store the raised alarms so that each kind and version is raised only once.

    >>> alarms = AlarmFilter()
    >>> len(alarms.alarm_if_new(ConfigurationAlarmKind.REFUSED, 7, "unknown format"))
    1
    >>> alarms.alarm_if_new(ConfigurationAlarmKind.REFUSED, 7, "unknown format")
    []
    """

    def __init__(self) -> None:
        self._raised: dict[tuple[ConfigurationAlarmKind, int], str] = {}

    def alarm_if_new(
        self, kind: ConfigurationAlarmKind, version: int, detail: str
    ) -> list[Action]:
        """Return the alarm, or an empty list if it was raised before."""
        if (kind, version) in self._raised:
            return []
        if len(self._raised) >= MAX_ALARMS_REMEMBERED:
            self._raised.pop(next(iter(self._raised)))
        self._raised[kind, version] = detail
        return [ConfigurationAlarm(kind, version, detail)]

    def forget_store_alarms(self) -> None:
        """Remove store alarms, so that they are raised again if they recur."""
        store_kinds = (
            ConfigurationAlarmKind.FORKED,
            ConfigurationAlarmKind.STORE_BEHIND,
        )
        self._raised = {
            key: detail
            for key, detail in self._raised.items()
            if key[0] not in store_kinds
        }
