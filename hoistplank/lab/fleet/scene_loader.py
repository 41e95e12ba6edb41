"""Loads the scenes of files and folders, and reports everything that is wrong with them together."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.scene_reader import read_scene
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation


class LoadedScene(NamedTuple):
    """A scene, and the folder in which its file lies."""

    scene: Scene
    folder: Path


def load_scenes(paths: Iterable[str], only: str = "") -> list[LoadedScene]:
    """Load the scenes of files and folders, or the one named `only`.

    In a folder, the operator's files that its scenes name are no scenes. Raises ConfigurationError with all
    that is wrong.
    """
    paths = list(paths)
    loaded: list[LoadedScene] = []
    diagnostics: list[Diagnostic] = []
    invalid_files: dict[Path, list[Diagnostic]] = {}
    for file in _scene_files(paths, diagnostics):
        try:
            loaded.append(LoadedScene(read_scene(file.read_bytes(), str(file)), file.parent))
        except OSError as error:
            diagnostics.append(
                _file_diagnostic(file, f"a file that can't be read ({error.strerror})", "a scene")
            )
        except ConfigurationError as error:
            invalid_files[file] = error.diagnostics
    operator_files = {folder / file for scene, folder in loaded for file in scene.files()}
    for file, problems in invalid_files.items():
        if file not in operator_files:
            diagnostics += problems
    names = [scene.name for scene, _ in loaded]
    if only and only not in names and not diagnostics:
        first = Path(paths[0]) if paths else Path()
        diagnostics.append(_file_diagnostic(first, f"no scene '{only}'", "one of " + ", ".join(names)))
    if diagnostics:
        raise ConfigurationError(diagnostics)
    return [row for row in loaded if not only or row.scene.name == only]


def _scene_files(paths: Iterable[str], diagnostics: list[Diagnostic]) -> list[Path]:
    found: list[Path] = []
    for path in map(Path, paths):
        files = sorted(path.glob("*.sexp")) if path.is_dir() else [path]
        if not files:
            diagnostics.append(_file_diagnostic(path, "a folder without scenes", "files '*.sexp'"))
        found += files
    return found


def _file_diagnostic(file: Path, found: str, expected: str) -> Diagnostic:
    return Diagnostic(SourceLocation(str(file), 1, 1), found, expected)
