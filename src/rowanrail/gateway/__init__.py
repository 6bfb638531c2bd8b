"""The proxy path for front ends that hand over typed statements.

Decisions here are event driven and free of I/O: a front end calls :class:`session.Session`,
a driver of the back-end port calls :class:`channel.Channel`, and time comes from
:class:`clock.Clock`. Nothing here creates a task or a future for a statement.
"""
