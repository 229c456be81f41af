package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.dispatch.JobDirectory;
import io.dragonflyturn.internal.dispatch.LedgerKeys;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.StoreStatus;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Publishes the address at which peers reach this instance. The address is written to the jobs
 * topic again whenever the stored one differs.
 */
public final class PeerAddressPublisher {
  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  /** The check interval until the stored records are loaded for the first time. */
  private static final long LOADING_CHECK_INTERVAL_MILLIS = 50;

  private final String instance;
  private final String address;
  private final JobDirectory jobDirectory;
  private final StoreStatus storeStatus;
  private final SequencedWriter writer;
  private final ScheduledExecutorService eventLoop;
  private final EventLog events;

  /**
   * Creates a publisher that does nothing until it is started.
   *
   * @param instance the name of this instance
   * @param address the IP address and port at which this instance accepts calls from peers
   * @param jobDirectory the stored records, which include the instances' addresses
   * @param storeStatus whether the stored records are current
   */
  public PeerAddressPublisher(
      String instance,
      String address,
      JobDirectory jobDirectory,
      StoreStatus storeStatus,
      SequencedWriter writer,
      ScheduledExecutorService eventLoop,
      EventLog events) {
    this.instance = instance;
    this.address = address;
    this.jobDirectory = jobDirectory;
    this.storeStatus = storeStatus;
    this.writer = writer;
    this.eventLoop = eventLoop;
    this.events = events;
  }

  /** Starts the periodic check. Must be called on the event loop. */
  public void start() {
    boolean published = address.equals(jobDirectory.instanceAddresses().get(instance));
    if (storeStatus.isLoaded() && storeStatus.isReachable() && !published) {
      byte[] value = address.getBytes(StandardCharsets.UTF_8);
      writer.write(new KeyedRecord(LedgerKeys.instance(instance), value));
    }
    eventLoop.schedule(
        LoggedCallback.of(events, "announce", this::start),
        storeStatus.isLoaded() ? CHECK_INTERVAL_MILLIS : LOADING_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }
}
