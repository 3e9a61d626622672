"""Where a request was tried, which limits where it may be sent."""

from collections.abc import Iterable
from typing import NamedTuple

from poplarlug.types import RegionName, UpstreamId


class Tried(NamedTuple):
    """
    Where a request was tried, which limits where it may be sent.

    Parameters
    ----------
    upstreams, regions : frozenset
        They ran or refused the request and must not be tried again.
    only : UpstreamId
        The upstream that gets the request once more, to tell whether its answer was
        whole; empty for none.
    """

    upstreams: frozenset[UpstreamId] = frozenset()
    regions: frozenset[RegionName] = frozenset()
    only: UpstreamId = ""

    def allows(self, upstream_id: UpstreamId) -> bool:
        """Return whether the request may be sent to an upstream."""
        if self.only:
            return upstream_id == self.only
        return upstream_id not in self.upstreams

    def with_upstream(self, upstream_id: UpstreamId) -> "Tried":
        return self._replace(upstreams=self.upstreams | {upstream_id}, only="")

    def with_upstreams(self, upstream_ids: Iterable[UpstreamId]) -> "Tried":
        """Add upstreams that another entry has asked."""
        return self._replace(upstreams=self.upstreams.union(upstream_ids))

    def with_region(self, region: RegionName) -> "Tried":
        return self._replace(regions=self.regions | {region}, only="")
