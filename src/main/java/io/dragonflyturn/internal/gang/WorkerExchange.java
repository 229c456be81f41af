package io.dragonflyturn.internal.gang;

import java.util.List;

/**
 * A request to a worker that carries commands. The worker answers with a {@link WorkerReport}.
 *
 * @param fence the fencing token, which is the leadership term of the sender; a worker rejects a
 *     token lower than the highest it has seen
 * @param sequence the sequence number, which increases with each exchange under the same fencing
 *     token; a worker ignores the commands of an exchange whose sequence number is not higher than
 *     the highest it has seen, so that late and repeated exchanges have no effect
 * @param incarnation the incarnation of the worker that the commands are for, as it last reported;
 *     empty if the sender knows none. A worker carries out no command for another incarnation,
 *     because it has lost the fencing token and the sequence number that the earlier one had seen
 * @param commands the commands, in order
 */
public record WorkerExchange(
    long fence, long sequence, String incarnation, List<WorkerCommand> commands) {
  /** Creates an instance with an immutable copy of the commands. */
  public WorkerExchange {
    commands = List.copyOf(commands);
  }
}
