package io.dragonflyturn.standin;

import io.dragonflyturn.model.Worker;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one worker stand-in.
 *
 * @param name the unique name of the worker
 * @param port the port of the HTTP interface; 0 selects a free port
 * @param failureDomain the failure domain of the worker
 * @param rack the rack of the worker
 * @param accelerators the number of accelerators
 * @param requestSlots the maximum number of concurrent requests
 * @param serviceMillis the service time of a request, in milliseconds
 * @param checkpointMillis the checkpoint interval of checkpointable tasks, in milliseconds
 * @param platform the address of the platform stand-in; null if the worker does not register
 * @param labels the labels of the worker in the instance list
 */
public record WorkerSettings(
    String name,
    int port,
    String failureDomain,
    String rack,
    int accelerators,
    int requestSlots,
    long serviceMillis,
    long checkpointMillis,
    @Nullable String platform,
    Map<String, String> labels) {
  private static final int DEFAULT_ACCELERATORS = 8;
  private static final int DEFAULT_REQUEST_SLOTS = 8;
  private static final long DEFAULT_SERVICE_MILLIS = 5;
  private static final long DEFAULT_CHECKPOINT_MILLIS = 500;
  private static final int PROCESSORS = 30;
  private static final long MEMORY_MEGABYTES = 60_000;

  /** Copies the labels. */
  public WorkerSettings {
    labels = Map.copyOf(labels);
  }

  /** Returns default settings with eight accelerators, eight request slots, and a free port. */
  public static WorkerSettings of(
      String name, String failureDomain, String rack, @Nullable String platform) {
    return new WorkerSettings(
        name,
        0,
        failureDomain,
        rack,
        DEFAULT_ACCELERATORS,
        DEFAULT_REQUEST_SLOTS,
        DEFAULT_SERVICE_MILLIS,
        DEFAULT_CHECKPOINT_MILLIS,
        platform,
        Map.of());
  }

  /** Returns the entry of the worker in the instance list of the platform. */
  Worker listedAt(String address, boolean leaving) {
    return new Worker(
        name,
        address,
        failureDomain,
        rack,
        accelerators,
        PROCESSORS,
        MEMORY_MEGABYTES,
        requestSlots,
        leaving,
        labels);
  }
}
