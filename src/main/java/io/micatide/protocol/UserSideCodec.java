package io.micatide.protocol;

import io.micatide.model.JobSpec;

/** The user's side of the protocol between users and controllers, used by simulated users: encodes submissions and decodes answers. */
public final class UserSideCodec {
    private UserSideCodec() {}

    /** Encodes the body of a submission. */
    public static byte[] submission(JobSpec spec) {
        return Json.bytes(out -> JobCodec.writeSpec(out, spec));
    }

    /** Decodes the state of a job as the wire names it; null if the answer has none. */
    public static String state(byte[] answer) {
        try {
            return Json.tree(answer).path("standing").asText(null);
        } catch (MalformedException e) {
            return null;
        }
    }

    /** Returns whether a job in the given state of the wire is finished: done or cancelled. */
    public static boolean isFinished(String state) {
        return isDone(state) || JobCodec.PublicState.CANCELLED.wireName().equals(state);
    }

    /** Returns whether all tasks of a job in the given state of the wire are done. */
    public static boolean isDone(String state) {
        return JobCodec.PublicState.DONE.wireName().equals(state);
    }
}
