"""The machines whose workers report to this controller, and commands to them."""
