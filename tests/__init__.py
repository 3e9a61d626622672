"""Tests of poplarlug; log lines below error stay out of their output."""

from poplarlug.logs import configure_logs

configure_logs(log_format="json", level="error")
