"""Reading of YAML files with the line number of each value."""

from pathlib import Path
from typing import Any

import attrs
import yaml

from jasminewalk.exceptions import JasminewalkError

__all__ = ["ValuePath", "Problem", "YamlDocument", "format_path", "read_documents"]

ValuePath = tuple[str | int, ...]

MAX_NUMBER = 2**53  # integers up to this are exact as floats
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@attrs.frozen
class Problem:
    """A problem in a file.

    :param path: path of the value, as keys and indices.
    :param text: message that says what was found and what is allowed.
    """

    path: ValuePath
    text: str


@attrs.frozen(kw_only=True)
class YamlDocument:
    """Document of a YAML file.

    :param file: path of the file, for messages.
    :param data: value of the document.
    :param lines: line number of each value by its path, from 1.
    :param problems: problems found while reading, such as duplicate keys.
    """

    file: str
    data: Any
    lines: dict[ValuePath, int]
    problems: list[Problem] = attrs.field(factory=list)

    def format_problem(self, problem: Problem) -> str:
        """Format a problem with its file, line number and path.

        A problem of a value that is missing gets the line of the value that should
        contain it.

        :param problem: the problem.
        """
        path = problem.path
        while path not in self.lines and path:
            path = path[:-1]
        where = f"{self.file}:{self.lines.get(path, 1)}"
        name = format_path(problem.path)
        return (
            f"{where}: {name}: {problem.text}" if name else f"{where}: {problem.text}"
        )


def format_path(path: ValuePath) -> str:
    """Format a path for people to read.

    >>> format_path(("pools", "tutor", "withdrawn", 0))
    'pools.tutor.withdrawn[0]'

    :param path: path of a value, as keys and indices.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def read_documents(file: str, error: type[JasminewalkError]) -> list[YamlDocument]:
    """Return the documents of a YAML file without the empty ones.

    :param file: path of the file.
    :param error: class of the error to raise.
    :raises JasminewalkError: if the file cannot be read or is not valid YAML.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        reason = getattr(cause, "strerror", None) or str(cause)
        raise error(f"{file}: cannot be read: {reason}") from cause
    loader = Loader(text)
    documents = []
    try:
        while loader.check_node():
            document = _build_document(file, loader, loader.get_node())
            if document.data is not None:
                documents.append(document)
    except yaml.YAMLError as cause:
        raise error(_format_yaml_error(file, cause)) from cause
    except RecursionError as cause:
        raise error(
            f"{file}: found values that are nested too deeply or contain themselves"
        ) from cause
    finally:
        loader.dispose()
    return documents


def _format_yaml_error(file: str, cause: yaml.YAMLError) -> str:
    mark = getattr(cause, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    problem = getattr(cause, "problem", None) or str(cause)
    return f"{file}:{line}: found text that is not YAML: {problem}"


def _build_document(file: str, loader: Any, node: Any) -> YamlDocument:
    lines: dict[ValuePath, int] = {}
    problems: list[Problem] = []
    data = _build_value(loader, node, (), lines, problems)
    return YamlDocument(file=file, data=data, lines=lines, problems=problems)


def _build_value(
    loader: Any,
    node: yaml.Node,
    path: ValuePath,
    lines: dict[ValuePath, int],
    problems: list[Problem],
) -> Any:
    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode):
        return [
            _build_value(loader, item, (*path, index), lines, problems)
            for index, item in enumerate(node.value)
        ]
    if not isinstance(node, yaml.MappingNode):
        value = loader.construct_object(node, deep=True)
        if isinstance(value, (int, float)) and not abs(value) <= MAX_NUMBER:
            text = f"found {node.value}; allowed is a number up to {MAX_NUMBER}"
            problems.append(Problem(path, text))
        return value
    problems.extend(_find_duplicate_keys(node, path))
    loader.flatten_mapping(node)
    mapping: dict[str, Any] = {}
    for key_node, value_node in node.value:
        if not isinstance(key_node, yaml.ScalarNode):
            problems.append(Problem(path, "found a name that is not plain text"))
            continue
        key = str(loader.construct_object(key_node))
        key_path = (*path, key)
        mapping[key] = _build_value(loader, value_node, key_path, lines, problems)
        lines[key_path] = key_node.start_mark.line + 1
    return mapping


def _find_duplicate_keys(node: yaml.MappingNode, path: ValuePath) -> list[Problem]:
    keys = [key for key, _ in node.value if isinstance(key, yaml.ScalarNode)]
    names = [key.value for key in keys]
    return [
        Problem((*path, name), "found twice; allowed is once")
        for name in sorted(set(names))
        if names.count(name) > 1
    ]
