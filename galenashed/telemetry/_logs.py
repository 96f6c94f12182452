"""Sets up the program's log."""

import logging
import sys
import traceback

import loguru
import msgspec

HUMAN_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {name}: {message} {extra}"
)


def _write_json(message) -> None:
    """Writes one record as a line of JSON."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "logger": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        # Without the values of variables, which may hold keys.
        line["exception"] = traceback.format_exception(
            record["exception"].value
        )
    encoded = msgspec.json.encode(line, enc_hook=str)
    sys.stderr.buffer.write(encoded + b"\n")
    sys.stderr.buffer.flush()


class _Forward(logging.Handler):
    """Hands records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        depth = loguru.logger.opt(exception=record.exc_info)
        depth.log(record.levelname, "{}", record.getMessage())


def configure_logging(*, level: str, format: str, instance: str) -> None:
    """Logs to standard error as ``json`` lines or in ``human`` form."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"instance": instance})
    if format == "json":
        loguru.logger.add(_write_json, level=level, diagnose=False)
    else:
        loguru.logger.add(
            sys.stderr, level=level, format=HUMAN_FORMAT, diagnose=False
        )
    logging.basicConfig(
        handlers=[_Forward()], level=logging.WARNING, force=True
    )
