"""Validates a configuration subtree.

The result depends only on the content of the subtree.
"""

from collections.abc import Iterable
import functools
import re
from typing import Any

import pydantic
import result

from mallowloft import messages
from mallowloft.configuration import model
from mallowloft.kernel import findings as findings_lib
from mallowloft.kernel import registry

AcceptedDocuments = dict[str, Any]

# Document types by the pattern of their path.
document_types: registry.Registry[type] = registry.Registry("document type")
document_types.register(r"/operator/fleet")(model.Fleet)
document_types.register(r"/operator/services/[^/]+")(model.Service)
document_types.register(r"/operator/indexes/[^/]+")(model.Index)
document_types.register(r"/operator/groups/[^/]+")(model.Group)
document_types.register(r"/operator/teams/[^/]+")(model.Team)
document_types.register(r"/teams/[^/]+/query")(model.TeamQuery)


def subtree_of(path: str) -> str:
    """Returns the subtree to which a document belongs.

    All documents of a team form one subtree. Each document of the operator is a
    subtree of its own.
    """
    parts = path.split("/")
    if len(parts) > 2 and parts[1] == "teams":
        return "/".join(parts[:3])
    return path


def _type_of(path: str) -> type | None:
    for pattern, document_type in document_types.by_name.items():
        if re.fullmatch(pattern, path):
            return document_type
    return None


# Building an adapter is far more expensive than validating a value.
_adapter = functools.cache(pydantic.TypeAdapter)


def check_value(
    path: str, value: Any, findings: findings_lib.Findings
) -> Any | None:
    """Validates the value of one document.

    Returns:
        The document, or None if the value is invalid; its errors are then added
        to the findings.
    """
    document_type = _type_of(path)
    if document_type is None:
        findings.add(path, "no document is expected at this path")
        return None
    try:
        return _adapter(document_type).validate_python(value)
    except pydantic.ValidationError as error:
        findings.add_validation_error(path, error)
        return None


def accept(
    documents: Iterable[messages.Document],
) -> result.Result[AcceptedDocuments, findings_lib.Findings]:
    """Validates the documents of one subtree.

    Args:
        documents: The whole content of the subtree; values of None are
            deletions.

    Returns:
        Validated documents by path, or all errors with their places.
    """
    accepted: AcceptedDocuments = {}
    findings = findings_lib.Findings()
    for document in documents:
        if document.value is None:
            continue
        checked = check_value(document.path, document.value, findings)
        if checked is not None:
            accepted[document.path] = checked
    if not findings.ok:
        return result.Err(findings)
    return result.Ok(accepted)
