package io.dragonflyturn.usage;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.http.ApiBody;
import io.dragonflyturn.internal.http.JsonCodec;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** Test double of an entry that returns scripted answers and records the calls. */
final class FakeEntry implements AutoCloseable {
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);
  private final Queue<Step> script = new ArrayDeque<>();
  private final List<String> calls = new ArrayList<>();

  FakeEntry() throws Exception {
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(new ScriptHandler());
    server.start();
  }

  URI address() {
    return URI.create("http://127.0.0.1:" + connector.getLocalPort());
  }

  /** Adds an answer with data to the script. */
  synchronized FakeEntry answer(Object data) {
    script.add(new Step.Answer(ApiBody.success(data)));
    return this;
  }

  /** Adds a rejection with a result code to the script. */
  synchronized FakeEntry reject(ResultCode code) {
    script.add(new Step.Answer(ApiBody.of(code, "scripted rejection", null)));
    return this;
  }

  /** Closes the connection of the next call without an answer. */
  synchronized FakeEntry loseAnswer() {
    script.add(new Step.CloseConnection());
    return this;
  }

  /** Returns the calls so far, each as method, path, token header, and body. */
  synchronized List<String> calls() {
    return List.copyOf(calls);
  }

  private synchronized Step nextStep(String call) {
    calls.add(call);
    Step step = script.poll();
    return step == null ? new Step.Answer(ApiBody.success("unscripted")) : step;
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  /** The scripted reaction to a call. */
  private sealed interface Step {
    record Answer(ApiBody body) implements Step {}

    record CloseConnection() implements Step {}
  }

  /** Handles each call with the next step of the script. */
  private final class ScriptHandler extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      String call =
          String.join(
              " ",
              request.getMethod(),
              request.getHttpURI().getPathQuery(),
              String.valueOf(request.getHeaders().get("Authorization")),
              Content.Source.asString(request));
      switch (nextStep(call)) {
        case Step.CloseConnection close ->
            request.getConnectionMetaData().getConnection().getEndPoint().close();
        case Step.Answer answer -> write(response, callback, answer.body());
      }
      return true;
    }

    private static void write(Response response, Callback callback, ApiBody body) {
      response.setStatus(ResultCode.ofNumber(body.code()).httpStatus());
      response.write(true, ByteBuffer.wrap(JsonCodec.write(body)), callback);
    }
  }
}
