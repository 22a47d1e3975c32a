package io.micatide.client;

/** Why a call ended without what it was made for. */
public abstract sealed class MicatideException extends Exception {
    private static final long serialVersionUID = 1L;

    private MicatideException(String message) {
        super(message);
    }

    /** The service will never take it (400, 422); repeating it is of no use. */
    public static final class Refused extends MicatideException {
        private static final long serialVersionUID = 1L;
        private final int status;
        private final String field;

        Refused(int status, String field, String message) {
            super(status + (field == null ? "" : " " + field) + ": " + message);
            this.status = status;
            this.field = field;
        }

        public int status() {
            return status;
        }

        /** The field that is wrong, or null where the service named none. */
        public String field() {
            return field;
        }
    }

    /** The service never accepted such a job (404). */
    public static final class Unknown extends MicatideException {
        private static final long serialVersionUID = 1L;

        Unknown(String id) {
            super(id + ": was never accepted");
        }
    }

    /**
     * The time of the call is over, or the budget for repetitions was used up for all of it. A submission may have been accepted
     * all the same: the same job may be submitted again at any time.
     */
    public static final class GaveUp extends MicatideException {
        private static final long serialVersionUID = 1L;
        private final int tries;
        private final int lastStatus;

        GaveUp(int tries, int lastStatus, String why) {
            super("gave up after " + tries + " tries: " + why);
            this.tries = tries;
            this.lastStatus = lastStatus;
        }

        public int tries() {
            return tries;
        }

        /** The last status, 0 if there was no answer. */
        public int lastStatus() {
            return lastStatus;
        }
    }
}
