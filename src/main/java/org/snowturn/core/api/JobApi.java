package org.snowturn.core.api;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.AdmissionController;
import org.snowturn.core.admission.LiveJobMemory;
import org.snowturn.core.connectivity.StateRequestRelay;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.wire.JobSpec;

/**
 * Serves users' requests on every node from the state service alone. A submission or cancellation
 * takes effect by a single compare-and-swap transaction, and a status query reads. Every answer is
 * therefore durable and can be given by any node. Only the task counts, which are for display, come
 * from the leader.
 */
public final class JobApi {
  /**
   * The components of a controller that serve users' requests.
   *
   * @param machineTypes machine types of the cloud's catalog
   * @param formatGate decides whether the second storage format may be written, and provides the
   *     limits of the state service
   * @param relay access to the state service, directly or through a peer
   * @param admission admission control of submissions
   * @param liveJobs cache of the live jobs
   * @param memory memory that the live jobs take
   */
  public record Services(
      MachineTypes machineTypes,
      FormatGate formatGate,
      StateRequestRelay relay,
      AdmissionController admission,
      LiveJobCache liveJobs,
      LiveJobMemory memory) {}

  private final JobStatusCache statuses = new JobStatusCache();
  private final JobStatusReader reader;
  private final JobSubmission submission;
  private final JobCancellation cancellation;
  private final UserResponses responses;

  /**
   * Creates an API with empty caches of job statuses.
   *
   * @param isStateServiceHealthy supplies whether the state service has answered this node recently
   * @param cancelled cancellations that are known to this node
   * @param requestProgress asks the leader for the progress of jobs, which may be this node
   */
  public JobApi(
      Settings settings,
      CoreRuntime runtime,
      Services services,
      BooleanSupplier isStateServiceHealthy,
      CancelledJobs cancelled,
      Consumer<List<String>> requestProgress) {
    StateRequestRelay relay = services.relay();
    responses =
        new UserResponses(
            runtime,
            services.admission(),
            cancelled,
            () -> isStateServiceHealthy.getAsBoolean() || relay.canReachStateService());
    reader =
        new JobStatusReader(
            runtime, relay, services.liveJobs(), cancelled, statuses, responses, requestProgress);
    SubmissionValidator validator = new SubmissionValidator(settings, services.machineTypes());
    submission = new JobSubmission(runtime, services, validator, statuses, reader, responses);
    cancellation = new JobCancellation(runtime, services, statuses, reader, responses);
  }

  /** Records the progress of a job that the leader has published. */
  public void onProgress(PeerMessage.JobProgress progress) {
    statuses.onProgress(progress);
    reader.onProgress(progress.job());
  }

  /** Submits a job. The operation is idempotent. */
  public void submit(long exchange, JobSpec spec) {
    submission.submit(exchange, spec);
  }

  /** Answers with a job's status. */
  public void poll(long exchange, String id) {
    if (!statuses.isFinished(id) && responses.refuseIfUnreachable(exchange)) {
      return;
    }
    reader.read(
        exchange,
        id,
        status -> {
          if (status == null) {
            responses.answerNotFound(exchange);
          } else {
            responses.answerFull(exchange, status);
          }
        });
  }

  /** Cancels a job. The operation is idempotent. */
  public void cancel(long exchange, String id) {
    cancellation.cancel(exchange, id);
  }
}
