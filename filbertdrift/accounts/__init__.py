"""Client accounts: whose request it is, and how much an account may send.

Decides at the ingress whether the key of a request is honoured, and lets the
limiter refuse what exceeds the quota of the account. The accounts are part of
the configuration in force and have no state of their own. Authentication sends
no messages: a forwarded request carries the name of its account and the time
within which it may start. It relies on the evidence of `freshness` that the
configuration in force is the newest. Nodes with INI files (`inifile`) look keys
up in the same way, without strict revocation and limits.

Quotas: decides whether a request of an account with a limit may run now, so
that the sum over all nodes keeps to the limit (docs/design/quotas.md). Every
node holds tokens of accounts, and the buckets of the accounts that it keeps;
all of it is lost with the process. Messages: QuotaAsk and QuotaGrant between a
node and a keeper, LoanAsk and LoanGrant between keepers. It relies on the
member table for the size of the fleet and for who keeps what, and on clocks
that run equally fast.
"""
