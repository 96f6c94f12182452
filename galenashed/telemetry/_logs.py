"""Configuration of the program's log."""

import logging
import sys
import traceback

import loguru
import msgspec

HUMAN_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {name}: {message} {extra}"
)


def _write_json(message) -> None:
    """Writes a log record to standard error as a line of JSON."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "logger": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        # The traceback omits the values of variables, which may contain
        # keys.
        line["exception"] = traceback.format_exception(
            record["exception"].value
        )
    encoded = msgspec.json.encode(line, enc_hook=str)
    sys.stderr.buffer.write(encoded + b"\n")
    sys.stderr.buffer.flush()


class _LoguruHandler(logging.Handler):
    """Forwards records of standard library loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        logger = loguru.logger.opt(exception=record.exc_info)
        logger.log(record.levelname, "{}", record.getMessage())


def configure_logging(*, level: str, format: str, instance: str) -> None:
    """Logs to standard error, in the format ``json`` or ``human``."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"instance": instance})
    if format == "json":
        loguru.logger.add(_write_json, level=level, diagnose=False)
    else:
        loguru.logger.add(
            sys.stderr, level=level, format=HUMAN_FORMAT, diagnose=False
        )
    logging.basicConfig(
        handlers=[_LoguruHandler()], level=logging.WARNING, force=True
    )
