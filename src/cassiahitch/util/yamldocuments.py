"""Reading of YAML documents without aliases and duplicate keys."""

from __future__ import annotations

import yaml


class DocumentLoader(yaml.SafeLoader):
    """YAML loader that rejects aliases and duplicate keys."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[object, object]:
        """Construct a mapping, which must not have duplicate keys.

        :param node: node of the mapping.
        :param deep: whether nested nodes are constructed at once.
        :return: the mapping.
        :raises ConstructorError: if a key occurs twice.
        """
        names = [str(key_node.value) for key_node, _ in node.value]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f'the key {duplicates[0]} occurs twice',
                node.start_mark,
            )
        return super().construct_mapping(node, deep=deep)

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Compose the next node, which must not be an alias.

        Nested aliases could expand to a document of unbounded size.

        :param parent: node that contains the next node.
        :param index: position in the parent node.
        :return: the node.
        :raises ComposerError: if the node is an alias.
        """
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.composer.ComposerError(None, None, 'aliases are not allowed')
        return super().compose_node(parent, index)


def load_yaml_documents(text: bytes) -> list[object]:
    """Load the documents of a YAML text.

    :param text: YAML in UTF-8; ``---`` separates documents.
    :return: the documents as dictionaries, lists and scalars.
    :raises ValueError: if the text is invalid YAML, or has an alias or a duplicate key.
    """
    try:
        return list(yaml.load_all(text, DocumentLoader))  # noqa: S506 (a safe loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = ' '.join(str(error).split())
        raise ValueError(f'not YAML: {detail}') from None


__all__ = ('load_yaml_documents',)
