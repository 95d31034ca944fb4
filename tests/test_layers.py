"""Each layer imports only the layers below it, and imports modules only."""

import ast
import pathlib

import lycheegw

ROOT = pathlib.Path(lycheegw.__file__).parent
LAYERS_FROM_TOP = ("transport", "protocol", "coordination", "state")
UPPER_MODULES = (
    "standins",
    "measure",
    "app",
    "edge_app",
    "platform",
    "cli",
    "demo",
)
NAMES_ALLOWED_FROM = ("typing", "collections.abc", "__future__")


def _modules() -> list[pathlib.Path]:
    return [path for path in ROOT.rglob("*.py") if path.parent.name != "pb"]


def _imports(path: pathlib.Path) -> list[tuple[str, str]]:
    tree = ast.parse(path.read_text())
    return [
        (node.module or "", alias.name)
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    ]


def test_layers_import_only_lower_layers() -> None:
    for path in _modules():
        layer = path.relative_to(ROOT).parts[0]
        if layer not in LAYERS_FROM_TOP:
            continue
        forbidden = (
            LAYERS_FROM_TOP[: LAYERS_FROM_TOP.index(layer)] + UPPER_MODULES
        )
        for module, name in _imports(path):
            target = f"{module}.{name}".removeprefix("lycheegw.")
            assert target.split(".")[0] not in forbidden, f"{path}: {target}"


def test_modules_are_imported_not_names() -> None:
    for path in _modules():
        for module, name in _imports(path):
            if module.startswith("lycheegw"):
                parts = f"{module}.{name}".split(".")[1:]
                target = ROOT.joinpath(*parts)
                assert target.with_suffix(".py").exists() or target.is_dir(), (
                    f"{path}: {module}.{name}"
                )
