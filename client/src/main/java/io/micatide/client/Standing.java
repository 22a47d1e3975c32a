package io.micatide.client;

/**
 * How a job stands.
 *
 * @param word as the service said it; one that this client does not know is not final
 * @param done tasks that are done, for display
 * @param running tasks that run, for display
 */
public record Standing(String id, String word, int done, int running) {
    /** Done or withdrawn: for ever, at every controller. */
    public boolean over() {
        return isDone() || word.equals("withdrawn");
    }

    public boolean isDone() {
        return word.equals("done");
    }
}
