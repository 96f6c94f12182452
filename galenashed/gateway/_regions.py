"""The regions in which a request may run.

Routes and teams may name home regions: then the requests must not leave them,
whatever else fails.  A failure domain whose region is not known is in none.
"""

import typing

from galenashed.protocol import routes as wire


def find_home_regions(
    route: wire.Route, team: wire.RoutedTeam | None
) -> frozenset[str] | None:
    """Returns the regions that route and team both allow; None for all.

    Example::

        assert find_home_regions(route, None) is None
    """
    named = [
        frozenset(owner.home_regions)
        for owner in (route, team)
        if owner is not None and owner.home_regions
    ]
    return frozenset.intersection(*named) if named else None


class DomainRegions:
    """The regions of failure domains.

    Parameters
    ----------
    regions_by_domain : dict of str to str
        As far as the settings name them.
    """

    __slots__ = ("regions_by_domain",)

    def __init__(self, *, regions_by_domain: typing.Mapping[str, str]):
        self.regions_by_domain = regions_by_domain

    def is_outside(self, domain: str, regions: frozenset[str] | None) -> bool:
        """Whether a failure domain is in none of the regions."""
        if regions is None:
            return False
        return self.regions_by_domain.get(domain) not in regions
