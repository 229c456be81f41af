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

/** Reads the log through the peers in turn, beginning with the one that answered last. */
public final class ProtocolPeerLog implements PeerLog {
  /** The time for the way there and back, beyond the wait for news. */
  private static final Duration TRANSIT = Duration.ofMillis(300);

  private final List<String> peers;
  private final ProtocolClients clients;
  private final AtomicInteger last = new AtomicInteger();

  /** Creates a reader through the replicas at the addresses. */
  public ProtocolPeerLog(List<String> peers, ProtocolClients clients) {
    this.peers = List.copyOf(peers);
    this.clients = clients;
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    Message question = new Message.ReadLog(stream, fromOffset, maximumWait.toMillis());
    int first = last.get();
    for (int turn = 0; turn < peers.size(); turn++) {
      int index = (first + turn) % peers.size();
      try {
        LogSlice slice = ask(peers.get(index), question, maximumWait.plus(TRANSIT));
        last.set(index);
        return slice;
      } catch (DragonflyturnException unreachable) {
        // The next peer may reach the log.
        continue;
      }
    }
    throw new LogException(LogException.Effect.NONE, "No peer reaches the log.");
  }

  private LogSlice ask(String peer, Message question, Duration timeout) {
    try {
      return ((Message.LogRead) clients.at(peer).call(question, timeout).join()).slice();
    } catch (CompletionException failure) {
      throw Failures.toDragonflyturnException(failure);
    }
  }
}
