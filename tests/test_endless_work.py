"""Tests of how work without an end of its own is started."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
TREES_BY_PATH = {
    path: ast.parse(path.read_text("utf-8"))
    for path in sorted((ROOT / "fescuekeel").rglob("*.py"))
}


def walk_own(function):
    """Yield the nodes of a function, not those of functions within it."""
    for child in ast.iter_child_nodes(function):
        if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            continue
        yield child
        yield from walk_own(child)


def is_endless(function):
    """Return whether a function has a loop that only an exception ends."""
    for node in walk_own(function):
        if isinstance(node, ast.While) and ast.unparse(node.test) == "True":
            ends = (ast.Return, ast.Break)
            if not any(isinstance(inner, ends) for inner in walk_own(node)):
                return True
    return False


def list_functions(tree):
    functions = (ast.FunctionDef, ast.AsyncFunctionDef)
    return [node for node in ast.walk(tree) if isinstance(node, functions)]


def list_endless(tree):
    """Return the names of a module's coroutine functions without an end."""
    return {
        node.name
        for node in list_functions(tree)
        if isinstance(node, ast.AsyncFunctionDef) and is_endless(node)
    }


def list_endless_everywhere():
    """Return the names that only functions without an end have."""
    functions = [
        node for tree in TREES_BY_PATH.values() for node in list_functions(tree)
    ]
    ending = {node.name for node in functions if not is_endless(node)}
    return {node.name for node in functions} - ending


def get_name(called):
    return called.attr if isinstance(called, ast.Attribute) else ast.unparse(called)


def list_calls_in_background(tree, names):
    """Return the calls of functions whose result is not awaited at once."""
    awaited = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Await)}
    return [
        f"{ast.unparse(node)} in line {node.lineno}"
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and get_name(node.func) in names
        and id(node) not in awaited
    ]


class TestEndlessWork:
    # Guards against work that ends for good by one exception, while the
    # instance counts as ready: keep_running gets the function, not a call.
    def test_is_started_by_keep_running_only(self):
        names = list_endless_everywhere()
        calls_by_path = {
            str(path.relative_to(ROOT)): calls
            for path, tree in TREES_BY_PATH.items()
            if (calls := list_calls_in_background(tree, names | list_endless(tree)))
        }
        assert not calls_by_path

    def test_of_all_components_is_found(self):
        names = set().union(*map(list_endless, TREES_BY_PATH.values()))
        known = {"_carry_out_forever", "_tick_forever", "_contact_seeds", "_run"}
        assert known | {"watch_settings", "_monitor_connections"} <= names
        assert len(names) >= 19
