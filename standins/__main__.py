"""Starts one stand-in: log, target or traffic."""

import fire

from standins.log_server import serve_log
from standins.target_server import serve_target

fire.Fire({'log': serve_log, 'target': serve_target})
