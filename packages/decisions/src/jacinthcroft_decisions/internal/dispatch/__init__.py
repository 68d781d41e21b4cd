"""Which target a request goes to, how long it waits, when it is refused.

One VM decides for all VMs that follow it. Everything here is a pure function
of what it was told and of the time that is passed in.
"""
