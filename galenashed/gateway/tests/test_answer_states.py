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

    def find(self, service, *, has_head=True, events=0, unfinished=0):
        return self.states.find(
            service, has_head=has_head, events=events, unfinished=unfinished
        )

    def test_answer_without_a_head(self):
        state = self.find("prompt", has_head=False)
        self.assertEqual(quarantine.AnswerState.NONE, state)

    def test_head_of_targets_that_send_it_with_the_first_event(self):
        state = self.find("prompt")
        self.assertEqual(quarantine.AnswerState.JUST_BEGUN, state)

    def test_head_of_targets_that_may_send_it_early(self):
        """Guards against sound requests that explain every crash."""
        for service in ("early", "new"):
            state = self.find(service)
            self.assertEqual(quarantine.AnswerState.OPEN, state)

    def test_part_of_the_first_event(self):
        for service in ("prompt", "early", "new"):
            state = self.find(service, unfinished=5)
            self.assertEqual(quarantine.AnswerState.JUST_BEGUN, state)

    def test_events(self):
        state = self.find("prompt", events=1, unfinished=5)
        self.assertEqual(quarantine.AnswerState.OPEN, state)
