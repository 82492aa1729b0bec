package org.snowturn.front;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.overload.AdmissionQueue;
import org.snowturn.core.overload.ConcurrencyLimit;
import org.snowturn.metrics.Metrics;

/**
 * Takes in workers' reports, as many at a time as are answered soon; the others wait with their
 * bodies unread. All of it runs on the thread that has users and workers.
 */
final class ReportIntake {
  private static final Logger LOG = LoggerFactory.getLogger(ReportIntake.class);

  /** So many reports may always be in progress. */
  private static final int LEAST_IN_PROGRESS = 32;

  private static final int UNAVAILABLE = 503;

  private final AdmissionQueue<HttpServerExchange> queue;
  private final HttpHandler reader;
  private final Metrics metrics;
  private boolean refusing;

  /**
   * An intake.
   *
   * @param mostInProgress the limit never becomes larger
   * @param reader reads a report and hands it on
   */
  ReportIntake(int mostInProgress, HttpHandler reader, Metrics metrics) {
    this.queue = new AdmissionQueue<>(new ConcurrencyLimit(LEAST_IN_PROGRESS, mostInProgress));
    this.reader = reader;
    this.metrics = metrics;
    metrics.gauge("snowturn.reports.limit", queue::limit);
    metrics.gauge("snowturn.reports.waiting", queue::size);
  }

  /** Reads the report now, or later, or refuses it later. */
  void take(HttpServerExchange x) {
    long now = System.nanoTime();
    if (queue.enter(x, now)) {
      begin(x, now);
    } else {
      x.dispatch(); // stays open until it is read or refused
    }
  }

  private void begin(HttpServerExchange x, long now) {
    x.addExchangeCompleteListener(
        (exchange, next) -> {
          long end = System.nanoTime();
          queue.done(end - now, end);
          readNext();
          next.proceed();
        });
    try {
      reader.handleRequest(x);
    } catch (Exception e) {
      LOG.warn("a report could not be read", e);
      x.setStatusCode(400).endExchange();
    }
  }

  private void readNext() {
    HttpServerExchange next;
    while ((next = queue.next()) != null) {
      Connectors.executeRootHandler(x -> begin(x, System.nanoTime()), next);
    }
  }

  /** Refuses what has waited for nearly as long as workers wait. */
  void expire() {
    long now = System.nanoTime();
    HttpServerExchange late;
    while ((late = queue.expired(now)) != null) {
      if (!refusing) {
        LOG.info("overrun by reports: {} wait, {} at a time", queue.size(), queue.limit());
      }
      refusing = true;
      metrics.count("snowturn.reports.expired", "any");
      late.setPersistent(false);
      late.setStatusCode(UNAVAILABLE);
      late.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
      late.endExchange();
    }
    if (refusing && queue.size() == 0) {
      refusing = false;
      LOG.info("no report waits, {} at a time", queue.limit());
    }
  }
}
