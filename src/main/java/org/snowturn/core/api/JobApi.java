package org.snowturn.core.api;

import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.AdmissionController;
import org.snowturn.core.connectivity.StateRequestRelay;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.wire.JobSpec;

/**
 * Serves users on every node, from the state service alone: a submission or cancellation is one
 * compare-and-swap transaction, a poll reads. What a user has been told is therefore durable, and
 * no node can know less. Only the counts, which are for display, come from the leader.
 */
public final class JobApi {
  /** The parts of a controller that users' requests rest on. */
  public record Services(
      MachineTypes machineTypes,
      FormatGate format,
      StateRequestRelay relay,
      AdmissionController admission,
      LiveJobCache liveJobs) {}

  private final JobStatusCache statuses = new JobStatusCache();
  private final JobStatusReader reader;
  private final JobSubmission submission;
  private final JobCancellation cancellation;
  private final UserResponses responses;

  /**
   * Has served nobody yet.
   *
   * @param stateHealthy whether the state service has answered this node lately
   */
  public JobApi(
      Settings settings,
      CoreRuntime runtime,
      Services services,
      BooleanSupplier stateHealthy,
      CancelledJobs cancelled) {
    StateRequestRelay relay = services.relay();
    responses =
        new UserResponses(
            runtime,
            services.admission(),
            cancelled,
            () -> stateHealthy.getAsBoolean() || relay.canReachStateService());
    reader =
        new JobStatusReader(runtime, relay, services.liveJobs(), cancelled, statuses, responses);
    SubmissionValidator validator = new SubmissionValidator(settings, services.machineTypes());
    submission = new JobSubmission(runtime, services, validator, statuses, reader, responses);
    cancellation = new JobCancellation(runtime, services, statuses, reader, responses);
  }

  /** The leader tells how far a job is. */
  public void onProgress(PeerMessage.JobProgress progress) {
    statuses.onProgress(progress);
  }

  /** A user submits a job; repeating it is safe. */
  public void submit(long exchange, JobSpec spec) {
    submission.submit(exchange, spec);
  }

  /** A user asks for a job's status. */
  public void poll(long exchange, String id) {
    if (!statuses.isFinished(id) && responses.refusedForNow(exchange)) {
      return;
    }
    reader.read(
        exchange,
        id,
        status -> {
          if (status == null) {
            responses.notFound(exchange);
          } else {
            responses.full(exchange, status);
          }
        });
  }

  /** A user cancels a job; repeating it is safe. */
  public void cancel(long exchange, String id) {
    cancellation.cancel(exchange, id);
  }
}
