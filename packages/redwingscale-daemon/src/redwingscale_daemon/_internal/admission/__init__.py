"""Admission: which requests run, wait or are refused at once."""
