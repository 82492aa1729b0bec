package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.LongFunction;
import org.snowturn.core.Input;

/** A controller as users and workers see it: a name, and requests that may never be answered. */
abstract class Endpoint {
  final String name;
  boolean isUp;

  Endpoint(String name) {
    this.name = name;
  }

  /** Takes a user's request; the function makes the input from the exchange's number. */
  abstract void request(String from, LongFunction<Input> input, ResponseHandler answer);

  /** Takes a worker's report. */
  abstract void heartbeat(String from, JsonNode report, ResponseHandler answer);

  /** Takes the answer to a request; status 0 stands for a connection that was refused. */
  interface ResponseHandler {
    void onResponse(int status, JsonNode body);
  }
}
