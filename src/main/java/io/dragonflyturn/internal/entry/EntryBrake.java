package io.dragonflyturn.internal.entry;

import io.dragonflyturn.internal.http.EmergencyTakeOutService;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.request.RoutingSnapshot;
import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Tells every listed entry to send nothing into a failure domain, and proposes the change to the
 * log until the log takes it.
 */
public final class EntryBrake implements EmergencyTakeOutService {
  private static final Logger LOG = Logger.getLogger(EntryBrake.class);

  /** How long another entry may take to confirm. */
  private static final Duration TELL_TIMEOUT = Duration.ofSeconds(1);

  /** The pause between proposals while the log is out. */
  private static final Duration LOG_RETRY_PAUSE = Duration.ofMillis(500);

  private final EmergencyDomains domains;
  private final Supplier<RoutingSnapshot> routing;
  private final Runnable domainsChanged;
  private final ControlPlane controlPlane;
  private final ProtocolClients clients;
  private final Executor threads;
  private final String incarnation;

  /**
   * Creates the brake of an entry.
   *
   * @param domains the failure domains that this entry leaves out
   * @param routing names the other entries
   * @param domainsChanged told after each change of the failure domains
   * @param controlPlane takes the change into the log
   * @param clients reach the other entries
   * @param threads runs the proposals that wait for the log
   * @param incarnation this entry
   */
  public EntryBrake(
      EmergencyDomains domains,
      Supplier<RoutingSnapshot> routing,
      Runnable domainsChanged,
      ControlPlane controlPlane,
      ProtocolClients clients,
      Executor threads,
      String incarnation) {
    this.domains = domains;
    this.routing = routing;
    this.domainsChanged = domainsChanged;
    this.controlPlane = controlPlane;
    this.clients = clients;
    this.threads = threads;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<EmergencyOutcome> takeOut(ControlRecord.DomainServiceChanged record) {
    takeOutHere(record.failureDomain(), record.actor());
    CompletableFuture<ProposalOutcome> logged = logUntilTaken(record);
    List<CompletableFuture<Boolean>> told = tellOthers(record);
    return CompletableFuture.allOf(told.toArray(CompletableFuture[]::new))
        .thenApply(done -> outcome(told, logged));
  }

  @Override
  public void release(String failureDomain) {
    domains.release(failureDomain);
    domainsChanged.run();
  }

  /** Takes a failure domain out at this entry alone. */
  public void takeOutHere(String failureDomain, String actor) {
    domains.takeOut(failureDomain);
    domainsChanged.run();
    LOG.infof("failure domain %s taken out in an emergency by %s", failureDomain, actor);
  }

  private List<CompletableFuture<Boolean>> tellOthers(ControlRecord.DomainServiceChanged record) {
    Message message = new Message.EmergencyTakeOut(record.failureDomain(), record.actor());
    List<CompletableFuture<Boolean>> told = new ArrayList<>();
    for (Map.Entry<String, String> entry : routing.get().view().entries().entrySet()) {
      if (!entry.getKey().equals(incarnation)) {
        told.add(
            clients
                .at(entry.getValue())
                .call(message, TELL_TIMEOUT)
                .handle((done, failure) -> failure == null));
      }
    }
    return told;
  }

  private static EmergencyOutcome outcome(
      List<CompletableFuture<Boolean>> told, CompletableFuture<ProposalOutcome> logged) {
    int confirmed = (int) told.stream().filter(CompletableFuture::join).count();
    @Nullable ProposalOutcome outcome = logged.getNow(null);
    boolean accepted = outcome != null && outcome.code().isSuccess();
    return new EmergencyOutcome(confirmed + 1, told.size() - confirmed, accepted);
  }

  private CompletableFuture<ProposalOutcome> logUntilTaken(
      ControlRecord.DomainServiceChanged record) {
    return CompletableFuture.supplyAsync(() -> proposeUntilTaken(record), threads);
  }

  private ProposalOutcome proposeUntilTaken(ControlRecord.DomainServiceChanged record) {
    while (true) {
      try {
        ProposalOutcome outcome = controlPlane.propose(record).join();
        if (!outcome.code().isSuccess()) {
          release(record.failureDomain());
        }
        return outcome;
      } catch (CompletionException unavailable) {
        pause(unavailable);
      }
    }
  }

  private static void pause(CompletionException unavailable) {
    try {
      Thread.sleep(LOG_RETRY_PAUSE);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw unavailable;
    }
  }
}
