package org.snowturn.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against invalid settings and tunables that are accepted, and against error messages that
 * do not name the field or the line of the mistake.
 */
class SettingsTest {
  private static final String VALID_SETTINGS =
      """
      node = "a"
      location = "z1"
      serve_on = "127.0.0.1:8080"
      peer_bind = "127.0.0.1:8081"
      unknown_field = 3
      [[peers]]
      node = "b"
      location = "z2"
      addr = "127.0.0.1:8082"
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:2"
      [deployment]
      zones = ["z1", "z2"]
      [[deployment.teams]]
      name = "t"
      cpus_max = 4.0
      [deployment.workers]
      report_s = 1.5
      lease_s = 10.0
      cancel_s = 30.0
      [deployment.state]
      rps = 100.0
      write_rps = 20.0
      value_kb = 4.0
      txn_ops = 8
      [deployment.cloud]
      rps = 2.0
      list_lag_s = 0.0
      """;

  @TempDir Path dir;

  private Path write(String name, String text) throws Exception {
    return Files.writeString(dir.resolve(name), text);
  }

  @Test
  void nextStateLimitsDefaultToCurrentLimits() throws Exception {
    Settings withoutNext = SettingsReader.read(write("s.toml", VALID_SETTINGS));
    assertEquals(withoutNext.stateLimits(), withoutNext.nextStateLimits());
    String nextLimits = "[deployment.state.next]\nwrite_rps = 30.0\ntxn_ops = 4\n";
    Settings settings = SettingsReader.read(write("s.toml", VALID_SETTINGS + nextLimits));
    assertEquals(new Settings.StateLimits(100, 30, 4, 4), settings.nextStateLimits());
    assertEquals(
        new Settings.StateLimits(100, 20, 4, 4),
        settings.stateLimits().min(settings.nextStateLimits()));
    String invalid = VALID_SETTINGS + "[deployment.state.next]\nvalue_kb = 0.0\n";
    Exception exception =
        assertThrows(SettingsException.class, () -> SettingsReader.read(write("s.toml", invalid)));
    assertTrue(exception.getMessage().contains("deployment.state.next.value_kb"));
  }

  @Test
  void readsSettingsAndIgnoresUnknownFields() throws Exception {
    Settings settings = SettingsReader.read(write("s.toml", VALID_SETTINGS));
    assertEquals("a", settings.node());
    assertEquals("b", settings.peers().get(0).node());
    assertEquals(4.0, settings.teams().get(0).maxCpus());
    assertEquals(10.0, settings.workers().leaseS());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "lease_s = 10.0 | lease_s = -1.0 | deployment.workers.lease_s",
        "lease_s = 10.0 | lease_s = \"ten\" | deployment.workers.lease_s",
        "report_s = 1.5 | x = 1 | deployment.workers.report_s: missing",
        "cancel_s = 30.0 | cancel_s = 11.0 | deployment.workers.cancel_s",
        "txn_ops = 8 | txn_ops = 0 | deployment.state.txn_ops",
        "127.0.0.1:8080 | localhost | serve_on",
        "[outside] | [elsewhere] | outside: missing",
        "zones = [\"z1\", \"z2\"] | zones = [] | deployment.zones",
        "node = \"b\" | node = \"a\" | peers.node",
        "node = \"a\" | node = | line 1",
      })
  void reportsInvalidFieldInOneLine(String valid, String replacement, String expected)
      throws Exception {
    Path file = write("bad.toml", VALID_SETTINGS.replace(valid, replacement));
    String message =
        assertThrows(SettingsException.class, () -> SettingsReader.read(file)).getMessage();
    assertTrue(message.contains(expected), message);
    assertEquals(1, message.lines().count(), message);
  }

  @Test
  void tunablesOverrideDefaults() throws Exception {
    Path file =
        write(
            "t.xml",
            "<snowturn>\n <gainFactor>2.5</gainFactor>\n <speculation>false</speculation>\n"
                + " <somethingElse>1</somethingElse>\n</snowturn>");
    Tunables tunables = TunablesReader.read(file);
    assertEquals(2.5, tunables.gainFactor());
    assertEquals(false, tunables.speculation());
    assertEquals(Tunables.defaults().judgeAfterS(), tunables.judgeAfterS());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "<snowturn>\\n<gainFactor>x</gainFactor></snowturn> | line 2: gainFactor: expected a number",
        "<snowturn>\\n\\n<speculativeCap>2</speculativeCap></snowturn> | line 3: speculativeCap",
        "<snowturn><speculation>maybe</speculation></snowturn> | line 1: speculation",
        "<snowturn><gainFactor>1</snowturn> | line 1: not well-formed",
      })
  void reportsLineAndElementOfInvalidTunable(String text, String expected) throws Exception {
    Path file = write("bad.xml", text.replace("\\n", "\n"));
    String message =
        assertThrows(SettingsException.class, () -> TunablesReader.read(file)).getMessage();
    assertTrue(message.contains(expected), message);
  }
}
