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
 * Takes a failure domain out in an emergency: tells every entry in the routing view to send nothing
 * to it, and proposes the change to the log until the log accepts or rejects it.
 */
public final class EntryEmergencyTakeOutService implements EmergencyTakeOutService {
  private static final Logger LOG = Logger.getLogger(EntryEmergencyTakeOutService.class);

  /** The maximum time for another entry to confirm. */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(1);

  /** The delay between proposals while the log is unavailable. */
  private static final Duration PROPOSAL_RETRY_DELAY = Duration.ofMillis(500);

  private final EmergencyDomainFilter domainFilter;
  private final Supplier<RoutingSnapshot> routing;
  private final Runnable onChange;
  private final ControlPlane controlPlane;
  private final ProtocolClients clients;
  private final Executor executor;
  private final String incarnation;

  /**
   * Creates the service of an entry.
   *
   * @param domainFilter the filter for the routing views of this entry
   * @param routing supplies the routing view, which lists the other entries
   * @param onChange called after each change of the filter
   * @param controlPlane the scheduler to which the change is proposed
   * @param clients connects to the other entries
   * @param executor runs the proposals
   * @param incarnation the incarnation of this entry
   */
  public EntryEmergencyTakeOutService(
      EmergencyDomainFilter domainFilter,
      Supplier<RoutingSnapshot> routing,
      Runnable onChange,
      ControlPlane controlPlane,
      ProtocolClients clients,
      Executor executor,
      String incarnation) {
    this.domainFilter = domainFilter;
    this.routing = routing;
    this.onChange = onChange;
    this.controlPlane = controlPlane;
    this.clients = clients;
    this.executor = executor;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<EmergencyOutcome> takeOut(ControlRecord.DomainServiceChanged record) {
    takeOutLocally(record.failureDomain(), record.actor());
    CompletableFuture<ProposalOutcome> proposal = proposeAsync(record);
    List<CompletableFuture<Boolean>> confirmations = broadcast(record);
    return CompletableFuture.allOf(confirmations.toArray(CompletableFuture[]::new))
        .thenApply(done -> outcome(confirmations, proposal));
  }

  @Override
  public void release(String failureDomain) {
    domainFilter.release(failureDomain);
    onChange.run();
  }

  /** Takes a failure domain out at this entry only. */
  public void takeOutLocally(String failureDomain, String actor) {
    domainFilter.takeOut(failureDomain);
    onChange.run();
    LOG.infof("emergency take-out of failure domain %s by %s", failureDomain, actor);
  }

  private List<CompletableFuture<Boolean>> broadcast(ControlRecord.DomainServiceChanged record) {
    Message message = new Message.EmergencyTakeOut(record.failureDomain(), record.actor());
    List<CompletableFuture<Boolean>> confirmations = new ArrayList<>();
    for (Map.Entry<String, String> entry : routing.get().view().entries().entrySet()) {
      if (!entry.getKey().equals(incarnation)) {
        confirmations.add(
            clients
                .at(entry.getValue())
                .call(message, CONFIRMATION_TIMEOUT)
                .handle((done, failure) -> failure == null));
      }
    }
    return confirmations;
  }

  private static EmergencyOutcome outcome(
      List<CompletableFuture<Boolean>> confirmations, CompletableFuture<ProposalOutcome> proposal) {
    int confirmed = (int) confirmations.stream().filter(CompletableFuture::join).count();
    @Nullable ProposalOutcome outcome = proposal.getNow(null);
    boolean accepted = outcome != null && outcome.code().isSuccess();
    return new EmergencyOutcome(confirmed + 1, confirmations.size() - confirmed, accepted);
  }

  private CompletableFuture<ProposalOutcome> proposeAsync(
      ControlRecord.DomainServiceChanged record) {
    return CompletableFuture.supplyAsync(() -> proposeUntilDecided(record), executor);
  }

  private ProposalOutcome proposeUntilDecided(ControlRecord.DomainServiceChanged record) {
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
      Thread.sleep(PROPOSAL_RETRY_DELAY);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw unavailable;
    }
  }
}
