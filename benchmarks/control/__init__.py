"""Cost and behaviour of the control protocols over many cores on a virtual clock."""
