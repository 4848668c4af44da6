"""Histories of owners, a table and one engine in one process, on a clock of their own.

The daemon's own code for leases, ledger and orders runs over small fakes of
what it talks to; faults come from a random source or from a test.
"""
