package io.micatide.scheduler;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The machines of a list by ascending rank, and by their position in the list where ranks are equal. Many tasks of one job
 * are placed one after the other without a scan of the list for each: a tournament tree finds the first machine, and a
 * change of one machine costs the logarithm of their number.
 *
 * <p>Invariant: a rank depends only on the state of its machine, so that only {@link #update} changes it. A machine that
 * {@link #first} found not to be allowed is excluded until its next update; the caller's condition must never hold again
 * for it in the meantime.
 */
final class RankedMachines {
    /** The rank of a machine that is not to be found. */
    static final long EXCLUDED = Long.MAX_VALUE;

    private static final int ROOT = 1;
    private static final int NONE = -1;

    private final List<Machine> machines;
    private final ToLongFunction<Machine> rankOf;
    private final long[] ranks;
    /** Number of leaves of the tree, a power of two. */
    private final int leaves;
    /** Position of the first machine below each node; the children of node {@code n} are {@code 2n} and {@code 2n + 1}. */
    private final int[] winners;

    /**
     * Ranks all machines.
     *
     * @param machines not copied; must not change
     * @param rankOf returns the rank of a machine, or {@link #EXCLUDED}
     */
    RankedMachines(List<Machine> machines, ToLongFunction<Machine> rankOf) {
        this.machines = machines;
        this.rankOf = rankOf;
        this.ranks = new long[machines.size()];
        this.leaves = Math.max(1, Integer.highestOneBit(Math.max(1, 2 * machines.size() - 1)));
        this.winners = new int[2 * leaves];
        Arrays.fill(winners, NONE);
        for (int position = 0; position < ranks.length; position++) {
            ranks[position] = rankOf.applyAsLong(machines.get(position));
            winners[leaves + position] = position;
        }
        for (int node = leaves - 1; node >= ROOT; node--) {
            winners[node] = winnerOfChildren(node);
        }
    }

    private int winnerOfChildren(int node) {
        int left = winners[2 * node];
        int right = winners[2 * node + 1];
        return right == NONE || ranks[left] <= ranks[right] ? left : right;
    }

    /**
     * Returns the position of the first machine that is allowed, or -1 if there is none.
     *
     * @param isAllowed a condition that does not depend on the rank
     */
    int first(Predicate<Machine> isAllowed) {
        while (winners[ROOT] != NONE && ranks[winners[ROOT]] != EXCLUDED) {
            int position = winners[ROOT];
            if (isAllowed.test(machines.get(position))) {
                return position;
            }
            setRank(position, EXCLUDED);
        }
        return NONE;
    }

    /** Returns the rank of the machine at the position. */
    long rank(int position) {
        return ranks[position];
    }

    /** Ranks the machine at the position again after a change of its state. */
    void update(int position) {
        setRank(position, rankOf.applyAsLong(machines.get(position)));
    }

    private void setRank(int position, long rank) {
        ranks[position] = rank;
        for (int node = (leaves + position) / 2; node >= ROOT; node /= 2) {
            winners[node] = winnerOfChildren(node);
        }
    }
}
