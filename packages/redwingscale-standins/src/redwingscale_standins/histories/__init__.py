"""Simulated histories of owners, a table and one engine, in one process on a fake clock.

The daemon's own code for leases, ledger and orders runs against small fakes of the table
and the engine; faults come from a random source or from a test.
"""
