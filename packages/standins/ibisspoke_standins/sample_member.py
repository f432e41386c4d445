"""Member records for tests."""

from ibisspoke_policy.member import Member, MemberState


def sample_member(node_id: str, data_centre: str = "svealand-1") -> Member:
    """Return the record of a local node that serves ``ordering``."""
    return Member(
        id=node_id,
        incarnation=1,
        region="svealand",
        data_centre=data_centre,
        host="127.0.0.1",
        call_port=1,
        control_port=1,
        entry_port=1,
        service="ordering",
        n_slots=1,
        draining=False,
        state=MemberState.ALIVE,
        catalogue_version=0,
    )
