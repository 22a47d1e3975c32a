package io.micatide.client;

/**
 * How many repetitions all calls of a client may make together: a share of its first tries, one for each answer that was served, and a few
 * that come back with time. So an outage is not multiplied by those who wait for its end, and when it is over each of them that is served
 * lets another one go. Safe for any thread.
 */
final class RetryBudget {
    private final double share;
    private final double most;
    private final double aSecond;
    private double left;
    private long atMicros;

    /**
     * @param share repetitions for each first try
     * @param aSecond repetitions that come back each second, whatever is tried
     * @param most what is saved up at most
     */
    RetryBudget(double share, double aSecond, double most, long nowMicros) {
        this.share = share;
        this.aSecond = aSecond;
        this.most = most;
        this.left = most;
        this.atMicros = nowMicros;
    }

    private void fill(long nowMicros) {
        left = Math.min(most, left + aSecond * Math.max(0, nowMicros - atMicros) / 1e6);
        atMicros = nowMicros;
    }

    synchronized void firstTry(long nowMicros) {
        fill(nowMicros);
        left = Math.min(most, left + share);
    }

    synchronized void served(long nowMicros) {
        fill(nowMicros);
        left = Math.min(most, left + 1);
    }

    /** Whether a repetition may be made now; if so it is counted. */
    synchronized boolean take(long nowMicros) {
        fill(nowMicros);
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
