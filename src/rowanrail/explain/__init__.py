"""Explaining a failed request from the decision logs of any number of processes.

``search`` finds the request's lines, ``diagnosis`` joins what happened around them, ``causes`` and
``rejections`` hold the sentences, each with the rule of the product that decided. Relies on the
numbers and fields of log events, never on a running process.
"""
