"""Where requests go: choice of a target by what is known of all of them.

- Decides: the target of each attempt, at the ingress.
- Keeps: statistics and the newest report of each target (`chooser`, `reports`),
  the cost of requests by service (`costmodel`), and the backlog and speed of
  the local target (`backlog`, `speed`); all lost with the process.
- Sends: no messages of its own; reports travel with responses and refusals,
  expected costs with requests (`gatereport`).
- Relies on: members, the configuration, and what targets state of their load.
"""
