"""Names, formats and calls of the users' platform; it decides nothing."""

import os

# The programs here open no TLS connections. Without this, aiohttp has each start read
# all certificate authorities of the VM, a quarter of the processor time of its imports.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)
