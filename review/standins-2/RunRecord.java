import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time since the beginning. */
final class RunRecord {
  private final PrintWriter file;
  private final long beganNanos = System.nanoTime();
  private final List<String> broken = new ArrayList<>();

  RunRecord(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path));
  }

  double seconds() {
    return (System.nanoTime() - beganNanos) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    file.println(
        String.format(Locale.ROOT, "%8.3f ", seconds())
            + String.format(Locale.ROOT, format, values));
    file.flush();
  }

  synchronized void broken(String rule, String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    broken.add(rule + ": " + text);
    line("BROKEN %s: %s", rule, text);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }
}
