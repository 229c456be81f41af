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

/** Stores where peers reach this instance, until the stored records show it. */
public final class PeerAddressPublisher {
  private static final long CHECK_MILLIS = 1_000;

  private final String instance;
  private final String address;
  private final JobDirectory directory;
  private final StoreStatus contact;
  private final SequencedWriter writer;
  private final ScheduledExecutorService loop;
  private final EventLog events;

  /**
   * Creates an announcement that is not made yet.
   *
   * @param address the IP address and port where this instance takes calls of peers
   */
  public PeerAddressPublisher(
      String instance,
      String address,
      JobDirectory directory,
      StoreStatus contact,
      SequencedWriter writer,
      ScheduledExecutorService loop,
      EventLog events) {
    this.instance = instance;
    this.address = address;
    this.directory = directory;
    this.contact = contact;
    this.writer = writer;
    this.loop = loop;
    this.events = events;
  }

  /** Begins to announce. Used on the event loop only. */
  public void start() {
    boolean shown = address.equals(directory.instanceAddresses().get(instance));
    if (contact.isLoaded() && contact.isReachable() && !shown) {
      byte[] value = address.getBytes(StandardCharsets.UTF_8);
      writer.write(new KeyedRecord(LedgerKeys.instance(instance), value));
    }
    loop.schedule(
        LoggedCallback.of(events, "announce", this::start), CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }
}
