package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.LongFunction;
import org.snowturn.core.Input;

/**
 * A controller as seen by users and workers: it has a name and takes requests, which may remain
 * unanswered.
 */
abstract class Endpoint {
  final String name;

  /** Whether the controller is available to users. */
  boolean isUp;

  Endpoint(String name) {
    this.name = name;
  }

  /**
   * Sends a user's request.
   *
   * @param from the sender
   * @param input creates the request from the number of the exchange
   * @param handler handles the response, if one arrives
   */
  abstract void request(String from, LongFunction<Input> input, ResponseHandler handler);

  /**
   * Sends a worker's heartbeat.
   *
   * @param from the worker's address
   * @param report the body of the heartbeat
   * @param handler handles the response, if one arrives
   */
  abstract void heartbeat(String from, JsonNode report, ResponseHandler handler);

  /** Handles the response to a request. */
  interface ResponseHandler {
    /**
     * Handles a response.
     *
     * @param status the HTTP status, or 0 if the request failed without a response
     * @param body the body of the response, or null
     */
    void onResponse(int status, JsonNode body);
  }
}
