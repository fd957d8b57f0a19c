"""Reads the command of a role from the deploy file."""

import re


def run_line(path, role):
    """Returns the words of `run` of a role, placeholders included."""
    text = path.read_text(encoding="utf-8")
    section = text.split(f"[roles.{role}]", 1)[1].split("\n[", 1)[0]
    match = re.search(r'^run\s*=\s*(?:"""(.*?)"""|"([^"]*)")', section,
                      re.MULTILINE | re.DOTALL)
    return match.group(1) or match.group(2)
