"""Diagnosis of a failed request from the decision logs of any number of processes.

``search`` finds the relevant lines, ``diagnosis`` combines them, ``causes`` and ``rejections`` hold
the messages, each with the rule that decided. Uses the numbers and fields of log events, never a
running process.
"""
