package io.micatide.protocol;

import io.micatide.model.JobSpec;

/** The protocol between users and controllers as a user sees it: for stand-ins of users. */
public final class UserSideCodec {
    private UserSideCodec() {}

    /** The body of a submission. */
    public static byte[] submission(JobSpec spec) {
        return Json.bytes(out -> JobCodec.writeSpec(out, spec));
    }

    /** The wire's word for how a job stands, null if the answer does not say. */
    public static String state(byte[] answer) {
        try {
            return Json.tree(answer).path("standing").asText(null);
        } catch (MalformedException e) {
            return null;
        }
    }

    /** Whether the word says that the job is over. */
    public static boolean isFinished(String standing) {
        return isDone(standing) || JobCodec.PublicState.CANCELLED.wireName().equals(standing);
    }

    /** Whether the word says that all tasks of the job are done. */
    public static boolean isDone(String standing) {
        return JobCodec.PublicState.DONE.wireName().equals(standing);
    }
}
