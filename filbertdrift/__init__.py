"""Configuration distribution system and sidecar proxy for a service mesh."""

import os

# Keeps libuv from using io_uring; must be set before uvloop is imported.
os.environ['UV_USE_IO_URING'] = '0'
