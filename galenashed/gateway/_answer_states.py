"""How far a target had come with an answer when it crashed."""

from galenashed import quarantine

# Targets that send their heads longer before the first event, on average,
# have many out at any moment.
MAX_HEAD_LEAD_SECONDS = 0.05
SMOOTHING = 0.1


class AnswerStates:
    """Tells answers that have just begun from those that are open.

    Learns by service whether targets send the head of a response when they
    begin to write its first event, or long before.
    """

    __slots__ = ("_head_leads",)

    def __init__(self) -> None:
        # Average seconds between the head and the first event, by service.
        self._head_leads: dict[str, float] = {}

    def on_first_event(self, service: str, head_lead: float) -> None:
        """Records the seconds between a head and the first event."""
        average = self._head_leads.get(service, head_lead)
        self._head_leads[service] = average + SMOOTHING * (head_lead - average)

    def find(
        self,
        service: str,
        *,
        has_head: bool,
        events: int,
        unfinished: int,
    ) -> quarantine.AnswerState:
        """Returns the state of an answer whose target has crashed.

        ``unfinished`` are the bytes after the last of its ``events``.
        """
        if not has_head:
            return quarantine.AnswerState.NONE
        if events:
            return quarantine.AnswerState.OPEN
        if unfinished:
            return quarantine.AnswerState.JUST_BEGUN
        head_lead = self._head_leads.get(service, float("inf"))
        if head_lead < MAX_HEAD_LEAD_SECONDS:
            return quarantine.AnswerState.JUST_BEGUN
        return quarantine.AnswerState.OPEN
