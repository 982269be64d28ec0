"""Configuration distribution system for a service mesh."""

import os

os.environ['UV_USE_IO_URING'] = '0'
