package io.dragonflyturn.internal.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.scenario.Relay;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ProtocolTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private final MetricRegistry metrics = new MetricRegistry();
  private final CompletableFuture<Message> neverCompleted = new CompletableFuture<>();
  private ProtocolServer server;
  private ProtocolClient client;

  @BeforeEach
  void start() {
    server = new ProtocolServer(loopback(0), this::answer, metrics);
    server.start();
    client = new ProtocolClient(loopback(server.port()), metrics);
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
  }

  private CompletableFuture<Message> answer(Message message) {
    if (message instanceof Message.Forward forward) {
      return CompletableFuture.completedFuture(new Message.Forwarded(forward.call()));
    }
    return neverCompleted;
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  @Test
  void should_correlate_each_answer_with_its_call() {
    List<CompletableFuture<Message>> answers = new ArrayList<>();
    for (int call = 0; call < 200; call++) {
      answers.add(client.call(new Message.Forward(content(call)), TIMEOUT));
    }
    for (int call = 0; call < 200; call++) {
      Message.Forwarded answer = (Message.Forwarded) answers.get(call).join();
      assertThat(answer.answer()).isEqualTo(content(call));
    }
  }

  @Test
  void should_report_that_nothing_was_sent_when_no_peer_listens() {
    ProtocolClient unreachable = new ProtocolClient(loopback(unusedPort()), metrics);

    assertThatThrownBy(() -> unreachable.call(new Message.Acknowledged(), TIMEOUT).join())
        .cause()
        .hasFieldOrPropertyWithValue("code", ResultCode.PEER_UNREACHABLE);
  }

  @Test
  void should_report_that_nothing_was_sent_after_the_client_was_closed() {
    client.close();

    assertThatThrownBy(() -> client.call(new Message.Acknowledged(), TIMEOUT).join())
        .cause()
        .hasFieldOrPropertyWithValue("code", ResultCode.PEER_UNREACHABLE);
  }

  @Test
  void should_report_an_unknown_outcome_when_no_answer_arrives() {
    assertThatThrownBy(() -> client.call(new Message.Acknowledged(), Duration.ofMillis(200)).join())
        .cause()
        .hasFieldOrPropertyWithValue("code", ResultCode.OUTCOME_UNKNOWN);
  }

  @Test
  void should_fail_pending_calls_when_the_connection_is_lost() {
    CompletableFuture<Message> answer = client.call(new Message.Acknowledged(), TIMEOUT);
    client.call(new Message.Forward(content(1)), TIMEOUT).join();
    server.close();

    assertThatThrownBy(answer::join)
        .cause()
        .hasFieldOrPropertyWithValue("code", ResultCode.OUTCOME_UNKNOWN);
  }

  @Test
  void should_reconnect_after_a_lost_connection() {
    client.call(new Message.Forward(content(1)), TIMEOUT).join();
    int port = server.port();
    server.close();
    server = new ProtocolServer(loopback(port), this::answer, metrics);
    server.start();

    assertThat(answerAfterReconnect()).isEqualTo(content(2));
  }

  @Test
  void should_report_that_nothing_was_sent_when_no_connection_opens_in_time() throws IOException {
    InetAddress host = InetAddress.getLoopbackAddress();
    try (ServerSocket unresponsive = new ServerSocket(0, 1, host);
        Socket first = new Socket(host, unresponsive.getLocalPort());
        Socket second = new Socket(host, unresponsive.getLocalPort());
        ProtocolClient waiting =
            new ProtocolClient(loopback(unresponsive.getLocalPort()), metrics)) {
      assertThat(first.isConnected() && second.isConnected()).isTrue();

      assertThatThrownBy(
              () -> waiting.call(new Message.Acknowledged(), Duration.ofMillis(200)).join())
          .cause()
          .hasFieldOrPropertyWithValue("code", ResultCode.PEER_UNREACHABLE);
    }
  }

  @Test
  void should_use_a_new_connection_after_a_call_that_got_no_answer() {
    try (Relay relay = new Relay(server.port());
        ProtocolClient relayed = new ProtocolClient(loopback(relay.port()), metrics)) {
      relayed.call(new Message.Forward(content(1)), TIMEOUT).join();
      relay.silenceOpenConnections();
      assertThatThrownBy(
          () -> relayed.call(new Message.Forward(content(2)), Duration.ofMillis(200)).join());

      Message answer = relayed.call(new Message.Forward(content(3)), TIMEOUT).join();

      assertThat(((Message.Forwarded) answer).answer()).isEqualTo(content(3));
    }
  }

  @Test
  void should_keep_the_connection_after_an_unanswered_call_while_others_are_answered() {
    try (Relay relay = new Relay(server.port());
        ProtocolClient relayed = new ProtocolClient(loopback(relay.port()), metrics)) {
      CompletableFuture<Message> unanswered =
          relayed.call(new Message.Acknowledged(), Duration.ofMillis(500));
      relayed.call(new Message.Forward(content(1)), TIMEOUT).join();
      assertThatThrownBy(unanswered::join);

      relayed.call(new Message.Forward(content(2)), TIMEOUT).join();

      assertThat(relay.acceptedConnections()).isEqualTo(1);
    }
  }

  @Test
  void should_answer_a_message_that_the_handler_fails_on() {
    server.close();
    server =
        new ProtocolServer(
            loopback(server.port()),
            message -> {
              throw new IllegalStateException("an unexpected message");
            },
            metrics);
    server.start();

    assertThatThrownBy(() -> client.call(new Message.Acknowledged(), TIMEOUT).join())
        .cause()
        .hasFieldOrPropertyWithValue("code", ResultCode.INTERNAL_ERROR);
  }

  @Test
  void should_release_its_port_before_close_returns() {
    for (int restart = 0; restart < 200; restart++) {
      int port = server.port();
      server.close();
      server = new ProtocolServer(loopback(port), this::answer, metrics);
      server.start();
    }

    assertThat(answerAfterReconnect()).isEqualTo(content(2));
  }

  @Test
  void should_close_the_connection_after_an_oversized_frame() throws IOException {
    assertThat(sendRaw(Integer.MAX_VALUE, new byte[0])).isEqualTo(-1);
    assertThat(metrics.counter("protocol.frames.broken").getCount()).isEqualTo(1);
  }

  @Test
  void should_close_the_connection_after_a_malformed_frame() throws IOException {
    assertThat(sendRaw(3, new byte[] {(byte) 0xc1, 0, 0})).isEqualTo(-1);
    assertThat(metrics.counter("protocol.frames.broken").getCount()).isEqualTo(1);
  }

  private int sendRaw(int length, byte[] body) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeInt(length);
      output.write(body);
      output.flush();
      return socket.getInputStream().read();
    }
  }

  private byte[] answerAfterReconnect() {
    for (int attempt = 0; attempt < 100; attempt++) {
      try {
        Message answer = client.call(new Message.Forward(content(2)), TIMEOUT).join();
        return ((Message.Forwarded) answer).answer();
      } catch (java.util.concurrent.CompletionException broken) {
        Thread.onSpinWait();
      }
    }
    throw new AssertionError("The client did not reconnect");
  }

  private static byte[] content(int call) {
    return ("call " + call).getBytes(StandardCharsets.UTF_8);
  }

  private static int unusedPort() {
    ProtocolServer probe =
        new ProtocolServer(loopback(0), message -> new CompletableFuture<>(), new MetricRegistry());
    int port = probe.port();
    probe.close();
    return port;
  }
}
