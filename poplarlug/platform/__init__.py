"""Adapter to the users' platform: names, formats and HTTP API, no decision logic."""

import os

# These programs open no TLS connections. Without this, importing aiohttp loads all of
# the VM's certificate authorities, a quarter of the CPU time of the imports.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)
