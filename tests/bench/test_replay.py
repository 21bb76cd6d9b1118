"""The replay of load patterns."""

import testtools

from sardineproxy.bench import replay, replay_load

LIGHT = replay_load.Pattern(rate=lambda now, zone, kind: 1, load=0.05)


class TestReplay(testtools.TestCase):
    def test_same_seed_gives_the_same_results(self) -> None:
        """Guards against comparisons of variants under different loads."""
        worths = []
        for _ in range(2):
            repeated = replay.Replay(LIGHT, replay.VARIANTS['old'], 1)
            repeated.run()
            worths.append([client.worth for client in repeated.clients])
        self.assertEqual(worths[0], worths[1])

    def test_light_load_is_served_on_time(self) -> None:
        """Guards against a model that loses jobs by itself."""
        light = replay.Replay(LIGHT, replay.VARIANTS['perfect'], 1)
        light.run()
        rows = dict(replay.summarize(light.clients))
        self.assertGreater(rows['worth'], 0.95)
        self.assertEqual(0, rows['refused'])
