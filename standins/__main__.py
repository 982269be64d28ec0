"""Command line: serves a stand-in, sends traffic or runs soak tests."""

import fire

from standins.log_server import serve_log
from standins.soak import soak
from standins.target_server import serve_target
from standins.traffic import record_trace, send_traffic

fire.Fire(
    {
        'log': serve_log,
        'target': serve_target,
        'traffic': send_traffic,
        'record': record_trace,
        'soak': soak,
    }
)
