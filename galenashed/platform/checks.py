"""Checks of the platform's configurations before they are sent."""

from galenashed import config
from galenashed.platform import _configuration


def check_configuration(
    document: bytes, against: bytes | None = None
) -> config.CheckResult:
    """Returns the remarks on a configuration, in JSON, with their places.

    Control accepts it if none is an error.  The result has the differences to
    the configuration ``against``, if that is given; raises
    ConfigurationError if it is invalid.
    """
    try:
        cfg = _configuration.decode(document)
        table = _configuration.convert(cfg)
    except _configuration.ConfigurationError as exc:
        return config.CheckResult(
            remarks=[
                config.Remark(config.Severity.ERROR, place, message)
                for place, message in zip(
                    exc.places, exc.findings, strict=True
                )
            ]
        )
    remarks = [
        remark._replace(
            place=_configuration.translate_place(cfg, remark.place)
        )
        for remark in config.check_table(table)
    ]
    if against is None:
        return config.CheckResult(remarks=remarks)
    before = _configuration.decode_routing_table(against)
    if table.version <= before.version and table != before:
        remarks.append(
            config.Remark(
                config.Severity.WARNING,
                ("version",),
                f"version {table.version} changes nothing: it is not above"
                f" {before.version}",
            )
        )
    return config.CheckResult(
        remarks=remarks,
        differences=config.describe_table_changes(before, table),
    )


def describe(document: bytes) -> str:
    """Returns what a valid configuration is, for a message."""
    table = _configuration.decode_routing_table(document)
    return f"configuration, version {table.version}"


ConfigurationError = _configuration.ConfigurationError
