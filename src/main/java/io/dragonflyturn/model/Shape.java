package io.dragonflyturn.model;

/**
 * The resource request of a gang: a set of accelerators that are allocated together.
 *
 * @param members the number of members; each member is placed on one worker
 * @param acceleratorsPerMember the number of adjacent accelerators that each member needs on its
 *     worker
 * @param span the topology level within which all members must be placed
 */
public record Shape(int members, int acceleratorsPerMember, Span span) {
  /** The maximum number of members of a gang. */
  public static final int MAXIMUM_MEMBERS = 128;

  /** The maximum number of accelerators of one member. */
  public static final int MAXIMUM_ACCELERATORS_PER_MEMBER = 16;

  /** Checks that the values are within bounds. */
  public Shape {
    Fields.require("span", span);
    if (members < 1 || members > MAXIMUM_MEMBERS) {
      throw new IllegalArgumentException(
          "members is " + members + "; it must be 1 to " + MAXIMUM_MEMBERS);
    }
    if (acceleratorsPerMember < 0 || acceleratorsPerMember > MAXIMUM_ACCELERATORS_PER_MEMBER) {
      throw new IllegalArgumentException(
          "acceleratorsPerMember is "
              + acceleratorsPerMember
              + "; it must be 0 to "
              + MAXIMUM_ACCELERATORS_PER_MEMBER);
    }
  }

  /** Returns the total number of accelerators of all members. */
  public int accelerators() {
    return members * acceleratorsPerMember;
  }
}
