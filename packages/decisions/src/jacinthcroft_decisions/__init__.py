"""Pure decisions of jacinthcroft: no I/O and no clock of their own."""
