"""YAML documents without the parts of YAML that repeat or expand."""

from __future__ import annotations

import yaml


class DocumentLoader(yaml.SafeLoader):
    """A loader of YAML that refuses aliases and a key that stands twice."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[object, object]:
        """Return a mapping without repeated keys.

        :param node: the node of the mapping.
        :param deep: whether nested nodes are built at once.
        :return: the mapping.
        :raises ConstructorError: if a key stands twice.
        """
        names = [str(key_node.value) for key_node, _ in node.value]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f'the key {repeated[0]} stands twice',
                node.start_mark,
            )
        return super().construct_mapping(node, deep=deep)

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Return the next node, which must not be an alias.

        :param parent: the node that holds it.
        :param index: its place there.
        :return: the node.
        :raises ComposerError: if it is an alias, which could grow without bound.
        """
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.composer.ComposerError(None, None, 'aliases are not allowed')
        return super().compose_node(parent, index)


def load_yaml_documents(text: bytes) -> list[object]:
    """Read the documents of a YAML text.

    :param text: YAML in UTF-8; ``---`` separates documents.
    :return: plain values.
    :raises ValueError: if it is not YAML, or uses an alias or a key twice.
    """
    try:
        return list(yaml.load_all(text, DocumentLoader))  # noqa: S506 (a safe loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = ' '.join(str(error).split())
        raise ValueError(f'not YAML: {detail}') from None


__all__ = ('load_yaml_documents',)
