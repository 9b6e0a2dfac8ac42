"""Writes the reference pages of the configuration and the settings from their JSON schemas.

Usage: configuration_reference.py [--check]
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = {"configuration": "docs/configuration.md", "settings": "docs/settings.md"}


def allowed(schema):
    """Describes the values that a schema allows."""
    if "const" in schema:
        return f"`{json.dumps(schema['const'])}`"
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    if schema.get("type") in ("integer", "number"):
        return f"{schema['type']} from {schema['minimum']} to {schema['maximum']}"
    if schema.get("type") == "array":
        return f"array of {allowed(schema['items'])}"
    return schema.get("type", "")


def rows(schema, path):
    """Yields a table row for each field; nested fields follow their parent."""
    for name, field in schema["properties"].items():
        required = name in schema.get("required", [])
        default = f"`{json.dumps(field['default'])}`" if "default" in field else ""
        need = "required" if required else f"optional {default}".strip()
        yield f"| `{path}{name}` | {allowed(field)} | {need} | {field.get('description', '')} |"
        inner = field.get("items", field)
        if "properties" in inner:
            yield from rows(inner, f"{path}{name}{'[].' if 'items' in field else '.'}")


def page(name):
    schema = json.loads((ROOT / f"docs/{name}.schema.json").read_text(encoding="utf-8"))
    head = [f"# {schema['title']}", "", schema["description"],
            f"The JSON schema is [{name}.schema.json]({name}.schema.json); this page is written from it by",
            "`scripts/configuration_reference.py`. Unknown fields are faults; all faults of a file are reported at once.",
            "", "| field | allowed | need | meaning |", "| --- | --- | --- | --- |"]
    return "\n".join([*head, *rows(schema, "")]) + "\n"


def main():
    stale = []
    for name, path in PAGES.items():
        text = page(name)
        if "--check" not in sys.argv:
            (ROOT / path).write_text(text, encoding="utf-8")
        elif (ROOT / path).read_text(encoding="utf-8") != text:
            stale.append(path)
    for path in stale:
        print(f"{path} is not up to date; run scripts/configuration_reference.py")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
