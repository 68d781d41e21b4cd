"""Decides where a request goes, how long it waits and when it is refused.

One VM, the deciding VM, decides for itself and all VMs that follow it. The
code here does no I/O and reads no clock: the current time is passed in.
"""
