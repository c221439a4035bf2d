"""Names, formats and calls of the users' platform; nothing here decides.

Wire names are decoded once, in this folder, into types whose fields say what they hold.
Nothing outside this folder knows a wire name.
"""
