"""Reads the values that the platform publishes."""

from jacinthcroft_daemon.internal.platform.adapter import (
    NoNewerValue,
    Platform,
    PlatformUnavailable,
    PlatformValue,
    connect_platform,
)
from jacinthcroft_daemon.internal.platform.http_adapter import HttpPlatform

__all__ = (
    'HttpPlatform',
    'NoNewerValue',
    'Platform',
    'PlatformUnavailable',
    'PlatformValue',
    'connect_platform',
)
