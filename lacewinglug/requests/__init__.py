"""Request handling: each request gets one complete answer or a typed failure.

A failure states whether the request was not run, failed while running, or has an
unknown outcome.
"""
