"""Fills in deploy/node.ini.in as DEPLOY.md describes: values by dotted names, lists joined by commas."""

import re


def render(text, fields):
    def value(match):
        current = fields
        for part in match.group(1).split("."):
            if isinstance(current, (list, tuple)):
                current = current[int(part)]
            else:
                current = current.get(part, "")
        if isinstance(current, bool):
            return "true" if current else "false"
        if isinstance(current, (list, tuple)):
            return ",".join(str(each) for each in current)
        return str(current)

    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, text)
