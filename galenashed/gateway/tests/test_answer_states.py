"""How far an answer had come when its target crashed."""

import testtools

from galenashed.gateway import _answer_states
from galenashed import quarantine


class TestAnswerStates(testtools.TestCase):
    """Services whose targets send heads early, or with the first event."""

    def setUp(self):
        super().setUp()
        self.states = _answer_states.AnswerStates()
        for _ in range(10):
            self.states.on_first_event("prompt", 0.001)
            self.states.on_first_event("early", 0.3)

    def find(self, service, head_age, events=0, unfinished=0):
        return self.states.find(
            service, head_age=head_age, events=events, unfinished=unfinished
        )

    def test_answer_without_a_head(self):
        self.assertEqual(
            quarantine.AnswerState.NONE, self.find("prompt", None)
        )

    def test_fresh_head_of_targets_that_send_it_with_the_first_event(self):
        state = self.find("prompt", 0.01)
        self.assertEqual(quarantine.AnswerState.JUST_BEGUN, state)

    def test_head_alone_may_be_out_for_long(self):
        """Guards against sound requests that explain every crash."""
        for service, age in (("prompt", 1.0), ("early", 0.01), ("new", 0.01)):
            self.assertEqual(
                quarantine.AnswerState.OPEN, self.find(service, age)
            )

    def test_part_of_the_first_event(self):
        for service in ("prompt", "early", "new"):
            state = self.find(service, 1.0, unfinished=5)
            self.assertEqual(quarantine.AnswerState.JUST_BEGUN, state)

    def test_events(self):
        state = self.find("prompt", 0.01, events=1, unfinished=5)
        self.assertEqual(quarantine.AnswerState.OPEN, state)
