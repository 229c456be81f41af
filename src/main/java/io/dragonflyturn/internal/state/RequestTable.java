package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Keeps claimed and finished requests until their retention expires. */
final class RequestTable {
  private record Key(String customer, String key) {}

  private static final Comparator<RequestRecord> BY_AGE =
      Comparator.comparingLong(RequestRecord::createdAtMillis)
          .thenComparing(RequestRecord::customer)
          .thenComparing(RequestRecord::key);

  private final EffectiveSettings settings;
  private final Map<Key, RequestRecord> requests = new HashMap<>();
  private final TreeSet<RequestRecord> byAge = new TreeSet<>(BY_AGE);

  RequestTable(EffectiveSettings settings) {
    this.settings = settings;
  }

  Decision claim(ControlRecord.RequestClaimed claim, ApplyContext context) {
    RequestRecord existing = requests.get(new Key(claim.customer(), claim.key()));
    if (existing != null) {
      return new Decision(ResultCode.DUPLICATE, "The request was already claimed.", existing);
    }
    if (claim.createdAtMillis() < retentionCutoffMillis(context.stateMillis())) {
      return Decision.of(
          ResultCode.STALE_REQUEST_KEY,
          "The request key is older than the retention; find out the outcome, then use a new key.");
    }
    if (claim.createdAtMillis()
        > context.envelope().atMillis() + settings.current().requestFutureTolerance().toMillis()) {
      return Decision.of(
          ResultCode.MALFORMED_INPUT,
          "The creation time of the request key is in the future; correct the caller's clock.");
    }
    put(
        new RequestRecord(
            claim.key(), claim.customer(), claim.owner(), claim.createdAtMillis(), null, null));
    return Decision.ACCEPTED;
  }

  Decision finish(ControlRecord.RequestFinished finish, ApplyContext context) {
    RequestRecord existing = requests.get(new Key(finish.customer(), finish.key()));
    if (existing == null) {
      // A request with an issued identifier is not claimed in the log before it is sent.
      RequestRecord issued =
          new RequestRecord(
              finish.key(), finish.customer(), finish.owner(), context.atMillis(), null, null);
      put(issued.finished(finish.code(), finish.answer()));
      return Decision.ACCEPTED;
    }
    if (!existing.owner().equals(finish.owner())) {
      return new Decision(ResultCode.STATE_CONFLICT, "Another entry owns the request.", existing);
    }
    if (existing.finishedCode() != null) {
      return new Decision(ResultCode.DUPLICATE, "The outcome was already recorded.", existing);
    }
    byAge.remove(existing);
    put(existing.finished(finish.code(), finish.answer()));
    return Decision.ACCEPTED;
  }

  /** Removes requests whose retention has expired. */
  void prune(long stateMillis) {
    long cutoffMillis = retentionCutoffMillis(stateMillis);
    while (!byAge.isEmpty() && byAge.first().createdAtMillis() < cutoffMillis) {
      RequestRecord oldest = byAge.pollFirst();
      requests.remove(new Key(oldest.customer(), oldest.key()));
    }
  }

  private long retentionCutoffMillis(long stateMillis) {
    return stateMillis - settings.current().requestRetention().toMillis();
  }

  @Nullable RequestRecord find(String customer, String key) {
    return requests.get(new Key(customer, key));
  }

  int size() {
    return requests.size();
  }

  List<RequestRecord> all() {
    return List.copyOf(byAge);
  }

  void restore(List<RequestRecord> saved) {
    requests.clear();
    byAge.clear();
    saved.forEach(this::put);
  }

  private void put(RequestRecord request) {
    requests.put(new Key(request.customer(), request.key()), request);
    byAge.add(request);
  }
}
