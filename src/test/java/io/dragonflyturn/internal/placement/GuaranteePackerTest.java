package io.dragonflyturn.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the packing through an index with one that searches all workers for each guarantee. */
class GuaranteePackerTest {
  private static final int FLEETS = 500;
  private static final int MAXIMUM_GUARANTEES = 30;

  @ParameterizedTest
  @ValueSource(longs = {20260101, 20260102, 20260103, 20260104})
  void should_pack_the_same_as_a_search_of_all_workers(long seed) {
    Random random = new Random(seed);
    for (int fleet = 0; fleet < FLEETS; fleet++) {
      Topology topology =
          new Topology(
              PlacementFixture.workers(
                  1 + random.nextInt(4), 1 + random.nextInt(4), 1 + random.nextInt(5)));
      BlockSearch search = new BlockSearch(topology, new BlockTable());
      long[] masks = randomMasks(topology, random);
      long[] expectedMasks = masks.clone();
      List<Guarantee> guarantees = randomGuarantees(topology, random);

      List<Guarantee> unplaced = new GuaranteePacker(search).pack(masks, guarantees);

      assertThat(unplaced).isEqualTo(packWithFullSearch(search, expectedMasks, guarantees));
      assertThat(masks).isEqualTo(expectedMasks);
    }
  }

  @Test
  void should_pack_no_guarantee_if_there_are_no_workers() {
    BlockSearch search = new BlockSearch(new Topology(List.of()), new BlockTable());
    List<Guarantee> guarantees =
        List.of(
            new Guarantee("customer", PlacementFixture.singleMember(8), new BitSet()),
            new Guarantee("customer", new Shape(4, 8, Span.RACK), new BitSet()));

    assertThat(new GuaranteePacker(search).pack(new long[0], guarantees))
        .containsExactlyInAnyOrderElementsOf(guarantees);
  }

  private static List<Guarantee> packWithFullSearch(
      BlockSearch search, long[] masks, List<Guarantee> guarantees) {
    List<Guarantee> unplaced = new ArrayList<>();
    for (Guarantee guarantee : GuaranteePacker.mostConstrainedFirst(guarantees)) {
      List<MemberPlacement> placements =
          search.find(masks, guarantee.allowedWorkers(), guarantee.shape());
      if (placements != null) {
        search.removePlacements(masks, placements);
      } else if (guarantee.shape().acceleratorsPerMember() > 0) {
        unplaced.add(guarantee);
      }
    }
    return unplaced;
  }

  private static long[] randomMasks(Topology topology, Random random) {
    long[] masks = topology.fullMasks();
    for (int index = 0; index < masks.length; index++) {
      switch (random.nextInt(4)) {
        case 0 -> masks[index] = 0;
        case 1 -> masks[index] &= random.nextLong();
        case 2 -> masks[index] &= ~(1L << random.nextInt(8));
        default -> {}
      }
    }
    return masks;
  }

  private static List<Guarantee> randomGuarantees(Topology topology, Random random) {
    List<BitSet> workerSets = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      BitSet allowedWorkers = new BitSet();
      allowedWorkers.set(0, topology.size());
      allowedWorkers.clear(random.nextInt(topology.size()), topology.size());
      workerSets.add(allowedWorkers);
    }
    workerSets.get(0).set(0, topology.size());
    List<Guarantee> guarantees = new ArrayList<>();
    for (int count = random.nextInt(MAXIMUM_GUARANTEES); count > 0; count--) {
      Span span = Span.values()[random.nextInt(Span.values().length)];
      int members = random.nextInt(3) == 0 ? 1 : 1 + random.nextInt(6);
      Shape shape = new Shape(members, random.nextInt(9), span);
      guarantees.add(
          new Guarantee("customer", shape, workerSets.get(random.nextInt(workerSets.size()))));
    }
    return guarantees;
  }
}
