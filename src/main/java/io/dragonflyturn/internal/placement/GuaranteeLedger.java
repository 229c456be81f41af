package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which part of a customer's guaranteed shapes its jobs use. A job that can be charged to a
 * guarantee is covered by it; any other job borrows capacity that other customers may reclaim.
 */
final class GuaranteeLedger {
  private final List<Account> accounts = new ArrayList<>();

  GuaranteeLedger(List<Shape> guarantees) {
    guarantees.forEach(shape -> accounts.add(new Account(shape)));
  }

  private GuaranteeLedger() {}

  /** Returns an independent copy with the same charges. */
  GuaranteeLedger copy() {
    GuaranteeLedger copied = new GuaranteeLedger();
    for (Account account : accounts) {
      copied.accounts.add(new Account(account.shape, account.remaining));
    }
    return copied;
  }

  /**
   * Charges a job to the guarantee with the fewest free accelerators that can hold it.
   *
   * @return whether the job is covered by a guarantee
   */
  boolean cover(Shape job) {
    Account best = null;
    int[] bestCharge = null;
    for (Account account : accounts) {
      if (best != null && account.freeAccelerators() >= best.freeAccelerators()) {
        continue;
      }
      int[] charge = account.charge(job);
      if (charge != null) {
        best = account;
        bestCharge = charge;
      }
    }
    if (best == null || bestCharge == null) {
      return false;
    }
    best.apply(bestCharge);
    return true;
  }

  /** Returns the parts of the guaranteed shapes that no job is charged to. */
  List<Shape> remaining() {
    List<Shape> shapes = new ArrayList<>();
    for (Account account : accounts) {
      account.addRemaining(shapes);
    }
    return shapes;
  }

  /** The charges to one guaranteed shape. */
  private static final class Account {
    private final Shape shape;

    /** The free accelerators of each member of the guaranteed shape. */
    private int[] remaining;

    private int freeAccelerators;

    Account(Shape shape) {
      this.shape = shape;
      remaining = new int[shape.members()];
      Arrays.fill(remaining, shape.acceleratorsPerMember());
      freeAccelerators = sum(remaining);
    }

    Account(Shape shape, int[] remaining) {
      this.shape = shape;
      this.remaining = remaining;
      freeAccelerators = sum(remaining);
    }

    int freeAccelerators() {
      return freeAccelerators;
    }

    void apply(int[] charged) {
      remaining = charged;
      freeAccelerators = sum(charged);
    }

    private static int sum(int[] bins) {
      int sum = 0;
      for (int bin : bins) {
        sum += bin;
      }
      return sum;
    }

    /**
     * Returns the free accelerators of each member after the charge, or null if it does not fit.
     */
    int @Nullable [] charge(Shape job) {
      if (freeAccelerators < job.accelerators()) {
        return null;
      }
      if (job.span() == Span.WORKER) {
        return chargeSingleMember(job.accelerators());
      }
      if (job.members() == 1) {
        return chargeSingleMember(job.acceleratorsPerMember());
      }
      if (shape.members() > 1 && shape.span().compareTo(job.span()) > 0) {
        return chargeSingleMember(job.accelerators());
      }
      return chargeMembers(job);
    }

    private int @Nullable [] chargeSingleMember(int accelerators) {
      int best = -1;
      for (int bin = 0; bin < remaining.length; bin++) {
        boolean tighter = best < 0 || remaining[bin] < remaining[best];
        if (remaining[bin] >= accelerators && tighter) {
          best = bin;
        }
      }
      if (best < 0) {
        return null;
      }
      int[] charged = remaining.clone();
      charged[best] -= accelerators;
      return charged;
    }

    private int @Nullable [] chargeMembers(Shape job) {
      int[] charged = remaining.clone();
      int placed = 0;
      for (int bin = 0; bin < charged.length; bin++) {
        while (placed < job.members() && charged[bin] >= job.acceleratorsPerMember()) {
          charged[bin] -= job.acceleratorsPerMember();
          placed++;
          if (job.acceleratorsPerMember() == 0) {
            return charged;
          }
        }
      }
      return placed == job.members() ? charged : null;
    }

    private void addRemaining(List<Shape> shapes) {
      int blockSize = shape.acceleratorsPerMember();
      int unchargedMembers = (int) Arrays.stream(remaining).filter(bin -> bin == blockSize).count();
      if (unchargedMembers > 0 && blockSize > 0) {
        shapes.add(new Shape(unchargedMembers, blockSize, shape.span()));
      }
      for (int bin : remaining) {
        if (bin > 0 && bin < blockSize) {
          shapes.add(new Shape(1, bin, Span.WORKER));
        }
      }
    }
  }
}
