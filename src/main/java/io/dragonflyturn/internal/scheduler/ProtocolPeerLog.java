package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.log.LogException;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.PeerLog;
import io.dragonflyturn.internal.protocol.Failures;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads the log through peers for a replica that cannot reach it. Peers are tried in turn, starting
 * with the one that answered last.
 */
public final class ProtocolPeerLog implements PeerLog {
  /** The time allowed for the round trip to a peer, in addition to the requested wait. */
  private static final Duration ROUND_TRIP_ALLOWANCE = Duration.ofMillis(300);

  private final List<String> peers;
  private final ProtocolClients clients;
  private final AtomicInteger lastAnswering = new AtomicInteger();

  /** Creates a reader that uses the replicas at the given addresses. */
  public ProtocolPeerLog(List<String> peers, ProtocolClients clients) {
    this.peers = List.copyOf(peers);
    this.clients = clients;
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    Message request = new Message.ReadLog(stream, fromOffset, maximumWait.toMillis());
    int first = lastAnswering.get();
    for (int attempt = 0; attempt < peers.size(); attempt++) {
      int index = (first + attempt) % peers.size();
      try {
        LogSlice slice = ask(peers.get(index), request, maximumWait.plus(ROUND_TRIP_ALLOWANCE));
        lastAnswering.set(index);
        return slice;
      } catch (DragonflyturnException unreachable) {
        // The next peer may be able to reach the log.
        continue;
      }
    }
    throw new LogException(LogException.Effect.NONE, "No peer can reach the log.");
  }

  private LogSlice ask(String peer, Message request, Duration timeout) {
    try {
      return ((Message.LogRead) clients.at(peer).call(request, timeout).join()).slice();
    } catch (CompletionException failure) {
      throw Failures.toDragonflyturnException(failure);
    }
  }
}
