import pytest

import jasminewalk


@pytest.mark.parametrize("name", jasminewalk.__all__)
def test_public_name_can_be_imported(name):
    assert getattr(jasminewalk, name) is not None


def test_other_names_are_not_public():
    with pytest.raises(AttributeError):
        _ = jasminewalk.UnknownName
