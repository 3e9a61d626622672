"""Tests of poplarlug; log lines below level error are suppressed."""

from poplarlug.logs import configure_logs

configure_logs(log_format="json", level="error")
