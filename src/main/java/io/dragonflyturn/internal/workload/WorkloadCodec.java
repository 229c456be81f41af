package io.dragonflyturn.internal.workload;

import io.dragonflyturn.internal.workload.RunRecord.Placement;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Encodes jobs and runs as MessagePack for storage, and decodes them. */
public final class WorkloadCodec {
  /**
   * The number of members up to which each placement is stored by itself, which all builds can
   * read. The record of a wider gang would be too long for the store, so that it has another
   * format.
   */
  private static final int MAXIMUM_SINGLE_PLACEMENTS = 512;

  /** The version of the format in which members on the same worker share one placement. */
  private static final int GROUPED_PLACEMENTS_VERSION = 2;

  private WorkloadCodec() {}

  /** Encodes a submitted job. */
  public static byte[] encodeSubmission(SubmittedJob job) {
    return pack(
        packer -> {
          packer.packString(job.id());
          packer.packString(job.customer());
          packQueue(packer, job.queue());
          packer.packLong(job.acceptedMillis());
          packer.packString(job.specification());
          packer.packArrayHeader(job.steps().size());
          for (StepSpecification step : job.steps()) {
            packStep(packer, step);
          }
          packer.packInt(job.recurrence().count());
          packer.packLong(job.recurrence().firstMillis());
          packer.packLong(job.recurrence().periodMillis());
        });
  }

  /** Decodes a submitted job. */
  public static SubmittedJob decodeSubmission(byte[] stored) {
    return unpack(
        stored,
        unpacker ->
            new SubmittedJob(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpackQueue(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpackList(unpacker, WorkloadCodec::unpackStep),
                new Recurrence(
                    unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong())));
  }

  /** Encodes a run record. */
  public static byte[] encodeRun(RunRecord record) {
    return pack(
        packer -> {
          packer.packInt(record.runNumber());
          packer.packInt(record.phase().ordinal());
          packer.packInt(record.failures());
          packer.packString(record.checkpoint());
          if (record.members().size() <= MAXIMUM_SINGLE_PLACEMENTS) {
            packSinglePlacements(packer, record.members());
          } else {
            packer.packInt(GROUPED_PLACEMENTS_VERSION);
            packGroupedPlacements(packer, record.members());
          }
        });
  }

  /** Decodes a run record. */
  public static RunRecord decodeRun(byte[] stored) {
    return unpack(
        stored,
        unpacker ->
            new RunRecord(
                unpacker.unpackInt(),
                RunRecord.Phase.values()[unpacker.unpackInt()],
                unpacker.unpackInt(),
                unpacker.unpackString(),
                unpackPlacements(unpacker)));
  }

  private static void packSinglePlacements(MessageBufferPacker packer, List<Placement> members)
      throws IOException {
    packer.packArrayHeader(members.size());
    for (Placement member : members) {
      packPlacement(packer, member);
    }
  }

  /** Packs each placement that successive members share once, with the number of these members. */
  private static void packGroupedPlacements(MessageBufferPacker packer, List<Placement> members)
      throws IOException {
    List<PlacementGroup> groups = new ArrayList<>();
    for (Placement member : members) {
      PlacementGroup last = groups.isEmpty() ? null : groups.getLast();
      if (last != null && last.placement.equals(member)) {
        groups.set(groups.size() - 1, new PlacementGroup(member, last.members + 1));
      } else {
        groups.add(new PlacementGroup(member, 1));
      }
    }
    packer.packArrayHeader(groups.size());
    for (PlacementGroup group : groups) {
      packPlacement(packer, group.placement);
      packer.packInt(group.members);
    }
  }

  private static void packPlacement(MessageBufferPacker packer, Placement placement)
      throws IOException {
    packer.packString(placement.worker());
    packer.packLong(placement.incarnation());
  }

  private static List<Placement> unpackPlacements(MessageUnpacker unpacker) throws IOException {
    if (unpacker.getNextFormat().getValueType() == ValueType.ARRAY) {
      return unpackList(unpacker, WorkloadCodec::unpackPlacement);
    }
    int version = unpacker.unpackInt();
    if (version != GROUPED_PLACEMENTS_VERSION) {
      throw new IOException("Unknown version of placements: " + version);
    }
    List<Placement> members = new ArrayList<>();
    for (PlacementGroup group : unpackList(unpacker, WorkloadCodec::unpackPlacementGroup)) {
      members.addAll(Collections.nCopies(group.members, group.placement));
    }
    return members;
  }

  private static PlacementGroup unpackPlacementGroup(MessageUnpacker unpacker) throws IOException {
    return new PlacementGroup(unpackPlacement(unpacker), unpacker.unpackInt());
  }

  private static Placement unpackPlacement(MessageUnpacker unpacker) throws IOException {
    return new Placement(unpacker.unpackString(), unpacker.unpackLong());
  }

  /** Encodes a job state. */
  public static byte[] encodeJobState(JobState state) {
    return new byte[] {(byte) state.ordinal()};
  }

  /** Decodes a job state. */
  public static JobState decodeJobState(byte[] stored) {
    return JobState.values()[stored[0]];
  }

  /**
   * Returns the bytes that an action packs.
   *
   * @throws UncheckedIOException if packing fails
   */
  public static byte[] pack(PackAction action) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      action.write(packer);
      return packer.toByteArray();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Returns the value that an action unpacks from bytes.
   *
   * @throws UncheckedIOException if the bytes do not hold the expected values
   */
  public static <T> T unpack(byte[] bytes, UnpackAction<T> action) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return action.read(unpacker);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (MessagePackException | IndexOutOfBoundsException unexpectedValue) {
      throw new UncheckedIOException(new IOException("Unexpected stored value", unexpectedValue));
    }
  }

  private static void packQueue(MessageBufferPacker packer, QueuePolicy queue) throws IOException {
    packer.packString(queue.name());
    packer.packString(queue.service());
    packer.packInt(queue.priority());
    packer.packInt(queue.maximumAttempts());
    packer.packDouble(queue.stretch());
    packer.packLong(queue.objectiveMillis());
  }

  private static QueuePolicy unpackQueue(MessageUnpacker unpacker) throws IOException {
    return new QueuePolicy(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackDouble(),
        unpacker.unpackLong());
  }

  private static void packStep(MessageBufferPacker packer, StepSpecification step)
      throws IOException {
    packer.packInt(step.replicas());
    packer.packLong(step.demand().processorMillis());
    packer.packLong(step.demand().memoryMegabytes());
    packer.packInt(step.demand().accelerators());
    packer.packLong(step.estimateMillis());
    packer.packArrayHeader(step.dependencies().size());
    for (int dependency : step.dependencies()) {
      packer.packInt(dependency);
    }
    packer.packBoolean(step.checkpointed());
    packer.packBoolean(step.gang());
    packer.packBoolean(step.singleRack());
    packer.packString(step.requiredLabel());
    packer.packString(step.dataRack());
    packer.packInt(step.maximumPerWorker());
    packer.packBoolean(step.copiesMayRace());
    packer.packBoolean(step.endless());
  }

  private static StepSpecification unpackStep(MessageUnpacker unpacker) throws IOException {
    return new StepSpecification(
        unpacker.unpackInt(),
        new Resources(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt()),
        unpacker.unpackLong(),
        unpackList(unpacker, MessageUnpacker::unpackInt),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean());
  }

  private static <T> List<T> unpackList(MessageUnpacker unpacker, UnpackAction<T> element)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<T> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(element.read(unpacker));
    }
    return values;
  }

  /** A placement that a number of successive members share. */
  private record PlacementGroup(Placement placement, int members) {}

  /** Packs a value. */
  @FunctionalInterface
  public interface PackAction {
    /** Writes the fields of the value. */
    void write(MessageBufferPacker packer) throws IOException;
  }

  /**
   * Unpacks a value.
   *
   * @param <T> the type of the value
   */
  @FunctionalInterface
  public interface UnpackAction<T> {
    /** Reads the fields of the value. */
    T read(MessageUnpacker unpacker) throws IOException;
  }
}
