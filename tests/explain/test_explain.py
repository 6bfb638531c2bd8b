"""Diagnosis of failed requests from their logs."""

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from rowanrail.cli.main import main
from rowanrail.coordination.events import (
    ANNOUNCEMENT_REJECTED,
    MEMBER_STARTED_AGAIN,
    PROMOTION_DECIDED,
)
from rowanrail.directory.messages import Evacuations
from rowanrail.explain.diagnosis import diagnose
from rowanrail.explain.lines import read_lines
from rowanrail.gateway.events import KEY_WITHDRAWN, LINK_LOST
from rowanrail.kernel.catalogue import Level
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.statements import Answer, Refusal
from rowanrail.tenants.demand import DemandSummary
from tests.gateway.test_tenants import TenantGateway
from tests.support.gateway import GatewayHarness
from tests.support.relay import ZoneHarness


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()

    def diagnose(self, request, extra=()):
        return diagnose(request, read_lines([*self.harness.logs(), *extra]).lines)

    def control_log(self):
        with tempfile.TemporaryFile() as file:
            log = DecisionLog("control", file.fileno(), wall_clock=self.harness.clock.time)
            log.note(
                PROMOTION_DECIDED,
                service="db",
                instance="m3",
                token=41,
                term=2,
                reason="the primary is lost: 3 vantage points fail, none succeeds",
            )
            log.flush()
            file.seek(0)
            return file.read().decode().splitlines()

    def test_outcome_unknown_during_a_failover(self):
        client = self.harness.client("orders")
        client.run("WRITE a 1")
        self.harness.primary.silent = True
        client.run("WRITE a 2", seconds=1.1)
        diagnosis = self.diagnose("q2", self.control_log())
        self.assertEqual(diagnosis.outcome, Refusal.OUTCOME_UNKNOWN.value)
        self.assertIn("sent to m1 and no answer was received", diagnosis.cause)
        self.assertIn("the primary of db was lost", diagnosis.cause)
        self.assertIn("m3 was promoted with token 41", diagnosis.cause)
        self.assertEqual(diagnosis.promise, "none: it may or may not have run")

    def test_members_of_the_service_that_started_again_are_shown(self):
        client = self.harness.client("orders")
        client.run("WRITE a 1")
        with tempfile.TemporaryFile() as file:
            log = DecisionLog("control", file.fileno(), wall_clock=self.harness.clock.time)
            for service in ("db", "other"):
                fields = {"instance": f"{service}-1", "service": service}
                log.note(MEMBER_STARTED_AGAIN, **fields, start_ms=2000, earlier_ms=1000)
            log.note(ANNOUNCEMENT_REJECTED, instance="x", reason="invalid", problem="y", count=1)
            log.flush()
            file.seek(0)
            lines = file.read().decode().splitlines()
        shown = [line for line in self.diagnose("q1", lines).around if line.event >= 470]
        self.assertEqual(
            [line.text for line in shown], ["db-1 of db started again at 2000, before that at 1000"]
        )

    def test_refused_for_a_route_that_the_newest_known_version_lacks(self):
        client = self.harness.client("orders")
        self.harness.configure(2, without=("orders",))
        self.harness.gateway.access.note_control_up_to_date("c1:7")
        self.harness.clock.advance(1.2)
        client.run("READ a")
        diagnosis = self.diagnose("q1")
        self.assertIn("version 2 has no route for orders", diagnosis.cause)
        self.assertIn(
            "control node c1:7 had confirmed 1200 ms earlier that it was the newest version",
            diagnosis.cause,
        )

    def test_opening_a_session_of_an_unknown_database_is_logged(self):
        answer = self.harness.gateway.open_session("nowhere", "secret")
        self.assertEqual(answer.refusal, Refusal.UNKNOWN_DATABASE)
        (line,) = [line for line in self.harness.logs() if '"event":333' in line]
        self.assertIn('"database":"nowhere","version":1,"control":"","heard_ms":null', line)
        self.assertNotIn("secret", line)

    def test_refused_for_an_exceeded_tenant_limit(self):
        self.harness = TenantGateway()
        self.harness.configure(2, rate=1.0, burst=1.0)
        self.harness.gateway.access.quota.set_fleet_totals(DemandSummary({}))
        client = self.harness.client("orders")
        while client.run("WRITE a 1", seconds=0.01).refusal is None:
            pass
        diagnosis = self.diagnose(f"q{len(client.answers)}")
        self.assertIn("tenant a is limited to 6 operations per window", diagnosis.cause)
        self.assertEqual(diagnosis.promise, "it had no effect and may be retried")

    def test_denied_with_a_revoked_key(self):
        self.harness = TenantGateway()
        client = self.harness.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        self.harness.configure(2, keys={"key-of-b": "b"})
        client.run("WRITE a 2")
        diagnosis = self.diagnose("q2")
        self.assertIn("its key no longer belongs to tenant a (", diagnosis.cause)
        self.assertEqual(diagnosis.promise, "it did not run; retrying will not help")
        self.assertIn(KEY_WITHDRAWN.number, [line.event for line in diagnosis.around])

    def test_refused_in_evacuated_zones(self):
        self.harness.gateway.set_evacuations(Evacuations(1, {"a": 1, "b": 1, "c": 1}))
        self.harness.clock.advance(3.0)
        self.harness.client("orders").run("WRITE a 1")
        diagnosis = self.diagnose("q1")
        self.assertIn("an operator has evacuated the zone", diagnosis.cause)
        self.assertEqual(diagnosis.promise, "it had no effect and may be retried")

    def test_refused_as_the_primary_leaves(self):
        self.harness.announce(2, leaving=("m1",))
        self.harness.client("orders").run("WRITE a 1")
        diagnosis = self.diagnose("q1")
        self.assertIn("announced that it leaves, and has not been replaced", diagnosis.cause)
        self.assertEqual(diagnosis.promise, "it had no effect and may be retried")

    def test_refused_by_replicas_that_lag_behind(self):
        client = self.harness.client("carts")
        client.run("BEGIN READ")
        refusal = Answer(refusal=Refusal.BEHIND, message="m2")
        for member in self.harness.members:
            member.script = [refusal] * 50
        client.run("READ a", seconds=1.5)
        diagnosis = self.diagnose("q2")
        self.assertEqual(diagnosis.outcome, Refusal.BEHIND.value)
        self.assertRegex(
            diagnosis.cause, r"the log of m\d had not reached the position that the read requires"
        )
        self.assertEqual(diagnosis.promise, "it had no effect and may be retried")

    def test_refused_without_a_free_connection(self):
        self.harness.configure(2, connections=9)
        clients = [self.harness.client("orders") for _ in range(3)]
        for client in clients:
            client.run("BEGIN")
            client.ask("WRITE a 1")
        for _ in range(6):  # keeps two transactions from reaching their idle limit
            self.harness.clock.advance(0.2)
            for client in clients[:2]:
                client.run("READ a")
        waiting = [c for c in clients if c.answers[-1].refusal is Refusal.BUSY]
        self.assertTrue(waiting)
        lines = [line for line in self.harness.logs() if '"outcome":"busy"' in line]
        request = lines[-1].split('"request":"')[1].split('"')[0]
        diagnosis = self.diagnose(request)
        self.assertIn("m1 of db had no free connection in time", diagnosis.cause)

    def fill_queue(self, pool, ask):
        """Queue enough statements for a member that further ones are rejected."""
        for _ in range(30):
            pool.connections.leases.note(500.0)
        self.harness.primary.script = [None] * 500
        for _ in range(60):
            ask()

    def test_rejected_on_arrival(self):
        pool = self.harness.gateway.services["db"].pools["m1"]
        self.fill_queue(pool, lambda: self.harness.client("orders").ask("WRITE b 2"))
        self.harness.client("orders").run("WRITE a 1")
        line = [text for text in self.harness.logs() if '"cause":"crowded"' in text][-1]
        diagnosis = diagnose("q1", read_lines([line]).lines)
        self.assertIn("m1 of db had no free connection in time (m1 is crowded for", diagnosis.cause)
        self.assertRegex(
            diagnosis.cause,
            r"on arrival its estimated wait was \d+ ms and 1000 ms remained until its deadline; "
            r"the client was told to retry after \d\.\d\d s$",
        )
        self.assertEqual(diagnosis.promise, "it had no effect and may be retried")

    def test_rejected_while_waiting(self):
        pool = self.harness.gateway.services["db"].pools["m1"]
        self.fill_queue(pool, lambda: self.harness.client("orders").ask("WRITE b 2"))
        self.harness.clock.advance(1.0)
        line = [text for text in self.harness.logs() if '"cause":"hopeless"' in text][-1]
        diagnosis = diagnose("q1", read_lines([line]).lines)
        self.assertRegex(
            diagnosis.cause,
            r"while it was queued its estimated remaining wait was \d+ ms and",
        )

    def test_rejected_by_the_load_that_the_holder_reported(self):
        self.harness = zone = ZoneHarness()
        client = zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.3)
        pool = zone.first.gateway.services["db"].pools["m1"]
        self.fill_queue(pool, lambda: zone.last.client("orders").ask("WRITE b 2"))
        zone.clock.advance(0.05)
        client.run("WRITE b 2")
        diagnosis = diagnose("q2", read_lines(zone.last.logs()).lines)
        self.assertIn(
            f"the load that {zone.first.name} reported implied a wait of at least", diagnosis.cause
        )
        self.assertIn("so it was not forwarded", diagnosis.cause)

    def test_a_write_with_a_lost_connection_to_the_holder(self):
        zone = ZoneHarness()
        client = zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        zone.primary.script = [None]
        client.ask("WRITE b 2")
        zone.clock.advance(0.05)
        zone.kill(zone.first)
        lines = read_lines([*zone.last.logs(), *zone.first.logs()]).lines
        diagnosis = diagnose("q2", lines)
        self.assertEqual(diagnosis.outcome, Refusal.OUTCOME_UNKNOWN.value)
        self.assertIn(
            f"forwarded to gateway {zone.first.name} and the connection to that gateway was lost",
            diagnosis.cause,
        )
        self.assertTrue([line for line in diagnosis.around if line.event == LINK_LOST.number])

    def test_refused_while_no_gateway_of_the_zone_held_connections(self):
        zone = ZoneHarness()
        for one in (zone.first, zone.second):
            zone.network.frozen.add(one.name)
        client = zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.5)
        lines = read_lines(zone.last.logs()).lines
        diagnosis = diagnose("q1", lines)
        self.assertIn("no gateway in its zone held connections to db", diagnosis.cause)
        self.assertEqual(diagnosis.promise, "it had no effect and may be retried")

    def test_waiting_for_a_sample_at_the_holder_is_not_a_lost_link(self):
        zone = ZoneHarness()
        client = zone.last.client("orders")
        client.run("WRITE a 1", seconds=0.1)
        zone.primary.silent = True
        zone.clock.advance(0.1)
        client.run("READ b", seconds=1.0)
        lines = read_lines([*zone.last.logs(), *zone.first.logs()]).lines
        diagnosis = diagnose("q2", lines)
        self.assertEqual(diagnosis.outcome, Refusal.BUSY.value)
        self.assertIn("it could not run: the primary of db was lost", diagnosis.cause)

    def test_the_holder_that_decided_is_named(self):
        zone = ZoneHarness()
        zone.primary.primary = False
        zone.last.client("orders").run("WRITE a 1", seconds=1.0)
        lines = read_lines([*zone.last.logs(), *zone.first.logs()]).lines
        self.assertIn(f" s as seen by {zone.first.name})", diagnose("q1", lines).cause)
        zone.primary.primary = True
        zone.last.client("orders").run("WRITE b 2", seconds=1.0)
        lines = read_lines([*zone.last.logs(), *zone.first.logs()]).lines
        self.assertIn(f"it ran at m1 through {zone.first.name}", diagnose("q1", lines).cause)

    def test_a_request_without_log_lines(self):
        diagnosis = self.diagnose("nothing")
        self.assertIn("no log line names this request", diagnosis.cause)
        self.assertIn("no log of a control node", " ".join(diagnosis.missing))

    def test_damaged_lines_are_counted_and_ignored(self):
        self.harness.client("orders").run("WRITE a 1")
        lines = self.harness.logs()
        damaged = ["", "not a line", lines[0][:30], '{"time":"x","event":1}', "\x00\xff"]
        result = read_lines([f"  12.5 proxy-1 {line}" for line in lines] + damaged)
        self.assertEqual(len(result.lines), len(lines))
        self.assertEqual(result.damaged, 4)

    def test_the_command(self):
        client = self.harness.client("orders")
        self.harness.primary.script = [None]
        client.run("WRITE a 1", seconds=1.1)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "proxy.log"
            path.write_text("\n".join(self.harness.logs()) + "\n")
            shown = CliRunner().invoke(main, ["explain", "q1", str(path)])
            self.assertEqual(shown.exit_code, 0, shown.output)
            self.assertIn("cause: it was sent to m1", shown.output)
            piped = CliRunner().invoke(main, ["explain", "q1", "--json"], input=path.read_text())
            self.assertIn('"outcome":"outcome-unknown"', piped.output)
            unknown = CliRunner().invoke(main, ["explain", "q9", str(path)])
            self.assertEqual(unknown.exit_code, 1)
            nowhere = CliRunner().invoke(main, ["explain", "q1", f"{folder}/no"])
            self.assertIn("can't be read", nowhere.output)


class DecisionLogTest(unittest.TestCase):
    def test_volume_is_bounded_and_refusals_take_precedence_over_successes(self):
        now = 100.0
        with tempfile.TemporaryFile() as file:
            log = DecisionLog("p", file.fileno(), 5, 20, wall_clock=lambda: now)
            from rowanrail.gateway.events import ANSWERED, REFUSED

            for number in range(100):
                log.note(ANSWERED, request=f"a{number}")
                log.note(REFUSED, request=f"r{number}", outcome="busy", reason="x")
            now = 101.0
            log.note(REFUSED, request="last", outcome="busy", reason="x")
            log.flush()
            file.seek(0)
            lines = read_lines(file.read().decode().splitlines()).lines
        counts = {number: sum(line.event == number for line in lines) for number in (300, 301, 10)}
        self.assertEqual(counts, {300: 5, 301: 16, 10: 1})
        left_out = next(line for line in lines if line.event == 10)
        self.assertEqual(left_out.fields, {"info": 95, "other": 85})

    def test_lines_below_the_level_are_neither_written_nor_counted(self):
        from rowanrail.gateway.events import ANSWERED, REFUSED

        with tempfile.TemporaryFile() as file:
            log = DecisionLog("p", file.fileno(), level=Level.WARNING)
            log.note(ANSWERED, request="a")
            log.note(REFUSED, request="r", outcome="busy", reason="x")
            log.flush()
            file.seek(0)
            lines = read_lines(file.read().decode().splitlines()).lines
        self.assertEqual([line.event for line in lines], [301])
        self.assertEqual(log.dropped_total, 0)

    def test_flush_does_not_block_on_a_full_pipe(self):
        import os

        reading, writing = os.pipe()
        os.set_blocking(writing, False)
        log = DecisionLog("p", writing, 10**6, 10**6, wall_clock=lambda: 100.0)
        from rowanrail.gateway.events import REFUSED

        for number in range(20_000):
            log.note(REFUSED, request=f"r{number}", outcome="busy", reason="x" * 50)
            if number % 100 == 0:
                log.flush()
        os.close(reading)
        log.flush()
        os.close(writing)

    def test_lines_for_a_closed_pipe_are_counted_as_dropped(self):
        import os

        from rowanrail.gateway.events import REFUSED

        reading, writing = os.pipe()
        log = DecisionLog("p", writing, wall_clock=lambda: 100.0)
        for number in range(3):
            log.note(REFUSED, request=f"r{number}", outcome="busy", reason="x")
        os.close(reading)
        log.flush()
        os.close(writing)
        self.assertEqual(log.dropped_total, 3)
