"""Checks the documentation: links, example files, reference pages and refusal reasons."""

import json
import pathlib
import re
import subprocess
import sys

import jsonschema

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build/release"


def broken_links():
    """Yields relative links of Markdown pages whose target does not exist."""
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]:
        for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text(encoding="utf-8")):
            if "://" not in target and not (page.parent / target).exists():
                yield f"{page.relative_to(ROOT)}: link to {target}, which does not exist"


def stale_examples():
    """Yields example files that violate the schema or differ from the output of their program."""
    schema = json.loads((ROOT / "docs/configuration.schema.json").read_text(encoding="utf-8"))
    for path in sorted(ROOT.glob("examples/*.json")):
        text = path.read_text(encoding="utf-8")
        for error in jsonschema.Draft202012Validator(schema).iter_errors(json.loads(text)):
            yield f"examples/{path.name}: {error.json_path}: {error.message}"
        program = BUILD / f"examples/sardinehollow-example-{path.stem}"
        if subprocess.run([program], capture_output=True, text=True, check=True).stdout != text:
            yield f"examples/{path.name} differs from the output of {program.name}; write it again"


def undocumented_reasons():
    """Yields refusal reasons that no operators' page mentions."""
    source = (ROOT / "modules/sardinehollow_policy/reasons/RefusalReason.cpp").read_text()
    pages = "".join(page.read_text() for page in ROOT.glob("docs/operations/*.md"))
    for reason in re.findall(r'RefusalReason::\w+, "([a-z-]+)"', source):
        if reason != "none" and f"`{reason}`" not in pages:
            yield f"refusal reason {reason} is not documented in docs/operations"


def main():
    faults = [*broken_links(), *stale_examples(), *undocumented_reasons()]
    for script in ("configuration_reference.py", "capacity.py"):
        page = subprocess.run([sys.executable, ROOT / "scripts" / script, "--check"],
                              capture_output=True, text=True, check=False)
        faults += page.stdout.splitlines()
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
