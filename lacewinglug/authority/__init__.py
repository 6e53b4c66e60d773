"""Leadership over runners, decided by the order of records in the control log.

A *tenure* is the leadership of one process over an *order domain*, a set of
runners. The offset of the record that claimed it serves as the fencing token.
"""
