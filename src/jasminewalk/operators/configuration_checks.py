"""Checks of configuration documents together with the configuration in force."""

import msgspec

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.generated_configuration import (
    Organisation,
    OrganisationDocument,
    Pool,
    Template,
)
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.operators.configuration_files import ConfigurationDocument
from jasminewalk.operators.templates import (
    find_parameter_problems,
    find_template_problems,
    find_version,
    render_organisation,
)
from jasminewalk.operators.yaml_files import Problem, ValuePath, format_path

__all__ = ["check_documents"]


def check_documents(
    documents: list[ConfigurationDocument], view: ConfigurationView
) -> None:
    """Check documents together with the configuration in force.

    :param documents: documents to publish, fleet and templates first.
    :param view: configuration in force; the valid documents are applied to it.
    :raises BadConfigurationError: if the resulting configuration is not valid; the
        message has one line for each problem.
    """
    messages: list[str] = []
    for document in documents:
        problems = find_change_problems(document, view)
        messages.extend(map(document.source.format_problem, problems))
        if not problems:
            view.apply(document.subject, 0, document.text, document.deleted)
    if not messages:
        messages = format_serving_problems(documents, view)
    if messages:
        raise BadConfigurationError("\n".join(messages))


def find_change_problems(
    document: ConfigurationDocument, view: ConfigurationView
) -> list[Problem]:
    """Return the problems that prevent a document from taking effect.

    :param document: the document.
    :param view: configuration in force, with the previous documents applied.
    """
    if document.deleted:
        return []
    if document.kind == "template":
        return find_template_change_problems(document, view)
    if document.kind == "organisation":
        return find_organisation_change_problems(document, view)
    return []


def find_template_change_problems(
    document: ConfigurationDocument, view: ConfigurationView
) -> list[Problem]:
    """Return the problems that prevent a template from taking effect.

    Published versions must not change or disappear, because organisations use them.

    :param document: the template.
    :param view: configuration in force.
    """
    template = msgspec.convert(document.body, Template)
    problems = find_template_problems(template)
    current = view.templates.get(document.name)
    for number, version in (current.versions if current else {}).items():
        path = ("versions", number)
        if number not in template.versions:
            text = "found no version; a published version must not be removed"
            problems.append(Problem(path, text))
        elif template.versions[number] != version:
            text = "found a changed version; a published version must not change"
            problems.append(Problem(path, text + " (add a new one)"))
    return problems


def find_organisation_change_problems(
    document: ConfigurationDocument, view: ConfigurationView
) -> list[Problem]:
    """Return the problems that prevent an organisation from taking effect.

    :param document: the organisation.
    :param view: configuration in force.
    """
    organisation = msgspec.convert(document.body, OrganisationDocument)
    template = view.templates.get(organisation.template)
    try:
        version = find_version(organisation, template)
        problems = find_parameter_problems(version, organisation.parameters)
        if not problems:
            render_organisation(document.name, organisation, template)
    except BadConfigurationError as error:
        field, _, text = error.detail.partition(": ")
        return [Problem((field,), text)]
    return problems


def format_serving_problems(
    documents: list[ConfigurationDocument], view: ConfigurationView
) -> list[str]:
    """Return a message for each problem in serving the organisations.

    Only organisations that the documents may affect are checked.

    :param documents: documents that were applied.
    :param view: configuration with the documents applied.
    """
    source_by_name = {
        document.name: document.source
        for document in documents
        if document.kind == "organisation" and not document.deleted
    }
    affects_all = any(document.kind != "organisation" for document in documents)
    names = (
        list(view.iterate_organisation_names()) if affects_all else list(source_by_name)
    )
    messages = []
    for name in names:
        source = source_by_name.get(name)
        for problem in find_serving_problems(name, view):
            if source is not None:
                messages.append(source.format_problem(problem))
            else:
                messages.append(
                    f"organisation/{name}: {format_path(problem.path)}: {problem.text}"
                )
    return messages


def find_serving_problems(name: str, view: ConfigurationView) -> list[Problem]:
    """Return the problems that prevent the fleet from serving an organisation.

    :param name: organisation name.
    :param view: configuration with the documents applied.
    """
    organisation = view.get_organisation(name)
    if organisation is None:
        return [Problem(("template",), "found a template or version not in force")]
    problems = find_failure_domain_problems(organisation, view)
    for model, rule in organisation.models.items():
        path = ("models", model)
        required = [model, rule.adapter] if rule.adapter else [model]
        problems += find_pool_problems(path, rule.pool, "engine", required, view)
    for service, service_rule in organisation.services.items():
        path = ("services", service)
        problems += find_pool_problems(path, service_rule.pool, "service", [], view)
    return problems


def find_failure_domain_problems(
    organisation: Organisation, view: ConfigurationView
) -> list[Problem]:
    """Return a problem for each failure domain that the fleet does not have.

    :param organisation: the organisation.
    :param view: configuration with the documents applied.
    """
    known = view.fleet.failure_domains
    return [
        Problem(
            ("failure_domains",),
            f"found {domain!r}; allowed is one of {', '.join(known)}",
        )
        for domain in organisation.failure_domains
        if known and domain not in known
    ]


def find_pool_problems(
    path: ValuePath, pool: str, kind: str, models: list[str], view: ConfigurationView
) -> list[Problem]:
    """Return the problems that prevent a pool from serving a rule.

    :param path: path of the rule in the organisation.
    :param pool: pool name.
    :param kind: kind of endpoint that the rule requires.
    :param models: models and adapters that the rule requires.
    :param view: configuration with the documents applied.
    """
    found: Pool | None = view.pools.get(pool)
    if found is None:
        known = ", ".join(view.pools) or "none"
        return [Problem(path, f"found pool {pool!r}; allowed is one of {known}")]
    if found.kind != kind:
        text = f"found pool {pool!r} of kind {found.kind}; allowed is kind {kind}"
        return [Problem(path, text)]
    return [
        Problem(path, f"found {model!r}, which is not among the models of pool {pool}")
        for model in models
        if found.models and model not in found.models
    ]
