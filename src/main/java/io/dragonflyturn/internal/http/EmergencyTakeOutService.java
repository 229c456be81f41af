package io.dragonflyturn.internal.http;

import io.dragonflyturn.internal.state.ControlRecord;
import java.util.concurrent.CompletableFuture;

/**
 * Takes a failure domain out of service by notifying every entry directly, which also works during
 * a log outage.
 */
public interface EmergencyTakeOutService {
  /**
   * Takes the failure domain out of service at this entry and at every reachable entry, and records
   * it in the log if possible.
   */
  CompletableFuture<EmergencyOutcome> takeOut(ControlRecord.DomainServiceChanged record);

  /**
   * Ends the emergency take-out. Requests are sent to the failure domain again if the configuration
   * in the log allows it.
   */
  void release(String failureDomain);

  /**
   * The result of an emergency take-out.
   *
   * @param entriesTold the number of entries that confirmed the take-out, including this one
   * @param entriesUnreachable the number of listed entries that did not confirm it
   * @param logged whether the log had accepted the take-out when this result was created
   */
  record EmergencyOutcome(int entriesTold, int entriesUnreachable, boolean logged) {}
}
