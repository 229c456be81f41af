package io.dragonflyturn.internal.http;

import io.dragonflyturn.internal.state.ControlRecord;
import java.util.concurrent.CompletableFuture;

/** Takes a failure domain out at every entry directly, also while the log is out. */
public interface EmergencyTakeOutService {
  /** Takes the failure domain out here and at every reachable entry, and in the log when it can. */
  CompletableFuture<EmergencyOutcome> takeOut(ControlRecord.DomainServiceChanged record);

  /** Lets requests into the failure domain again, as far as the log's configuration does. */
  void release(String failureDomain);

  /**
   * What an emergency take-out reached.
   *
   * @param entriesTold the number of entries that confirmed it, this one included
   * @param entriesUnreachable the number of listed entries that did not
   * @param logged whether the log had accepted it when this answer was written
   */
  record EmergencyOutcome(int entriesTold, int entriesUnreachable, boolean logged) {}
}
