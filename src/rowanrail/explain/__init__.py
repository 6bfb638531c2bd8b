"""Explaining a failed request from the decision logs of any number of processes."""
