"""The status page and the gauges of a node."""

from typing import TYPE_CHECKING

from .status import MembershipPage, StatusPage

if TYPE_CHECKING:
    from .node import Node


def describe(node: "Node") -> StatusPage:
    """Return the status page of ``node``."""
    announced = node.executor.announcement
    return StatusPage(
        id=node.settings.id,
        region=node.settings.region,
        data_centre=node.settings.data_centre,
        entry_port=node.ports.entry,
        call_port=node.ports.call,
        control_port=node.ports.control,
        service=announced.service if announced else "",
        catalogue_version=node.catalogue_in_force.version,
        n_open_requests=node.entry.n_open,
        n_open_attempts=node.executor.n_open,
        n_members=len(node.members_by_id),
        membership=_membership_page(node),
        counters=dict(node.metrics.totals_by_name),
        gauges=dict(node.metrics.gauges_by_name),
    )


def set_gauges(node: "Node") -> None:
    """Set every gauge; docs/OPERATING.md lists them."""
    level = node.controller.level
    gauge = node.metrics.gauge
    gauge("catalogue_version", node.catalogue_in_force.version)
    gauge("members", len(node.members_by_id))
    gauge("open_requests", node.entry.n_open)
    gauge("open_attempts", node.executor.n_open)
    gauge("buffer_bytes", node.budget.n_bytes)
    gauge("admission.limit", level.limit)
    gauge("admission.load", round(level.load, 3))
    gauge("admission.shed_below", level.shed_below)


def _membership_page(node: "Node") -> MembershipPage:
    membership = node.membership.membership
    n_bytes = node.router.budget.n_bytes_by_traffic
    counts = membership.view.count_by_state()
    return MembershipPage(
        n_members_by_state={state.value: n for state, n in counts.items()},
        unreachable_data_centres=sorted(membership.unreachable),
        is_cut_off=membership.is_cut_off,
        is_relay=membership.is_relay,
        n_sent_bytes=node.membership.n_sent_bytes,
        n_received_bytes=node.membership.n_received_bytes,
        n_link_bytes_by_traffic={kind.value: n for kind, n in n_bytes.items()},
    )
